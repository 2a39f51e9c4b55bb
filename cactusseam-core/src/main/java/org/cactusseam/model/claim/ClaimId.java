package org.cactusseam.model.claim;

import org.cactusseam.model.NodeName;

/**
 * Identity of one attempt to execute a request that must not be executed twice. It is never reused,
 * so a duplicate of its claim that is appended to the log late is recognised.
 *
 * @param node entry daemon that made the attempt
 * @param boot identity of the daemon process
 * @param attempt sequence number, unique within the daemon process
 */
public record ClaimId(NodeName node, String boot, long attempt) {}
