package org.cactusseam.model.admission;

import org.cactusseam.model.NodeName;

/**
 * Identity of one attempt, chosen by the requester. Permit requests with the same identity are
 * idempotent.
 *
 * @param node entry daemon that requests the permit
 * @param boot identity of the daemon's process run
 * @param sequence number of the attempt, unique within the process run
 */
public record PermitRequestId(NodeName node, String boot, long sequence) {}
