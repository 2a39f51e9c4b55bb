package org.cactusseam.model.control;

/**
 * Owner of an admission shard by the control log.
 *
 * @param run owning run
 * @param epoch offset of the record that made the run the owner; the fencing number of its grants
 */
public record ShardOwner(RunId run, long epoch) {}
