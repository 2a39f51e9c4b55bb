package org.cactusseam.model.admission;

import org.cactusseam.model.NodeName;

/**
 * Identity of one attempt to get a permit. Repeating it is harmless.
 *
 * @param node requesting entry daemon
 * @param boot identity of the daemon's run
 * @param sequence number, unique within the run
 */
public record PermitRequestId(NodeName node, String boot, long sequence) {}
