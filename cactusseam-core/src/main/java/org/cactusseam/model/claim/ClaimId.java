package org.cactusseam.model.claim;

import org.cactusseam.model.NodeName;

/**
 * Identity of one attempt to run a request that must not run twice. It is never reused, so a copy
 * of its claim that shows up late in the log is recognised.
 *
 * @param node entry daemon that made the attempt
 * @param boot identity of the daemon's run
 * @param attempt number, unique within the run
 */
public record ClaimId(NodeName node, String boot, long attempt) {}
