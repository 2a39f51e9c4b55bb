package org.cactusseam.model.control;

/**
 * Owner of an admission shard according to the control log.
 *
 * @param run owning run
 * @param epoch log offset of the record that made the run the owner, used as the fencing number of
 *     its grants
 */
public record ShardOwner(RunId run, long epoch) {}
