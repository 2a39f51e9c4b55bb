package org.cactusseam.logic.admission;

/**
 * Summary of a shard's load, sent to requesters so that they can choose between shards.
 *
 * @param waiting attempts that wait
 * @param open attempts that run
 * @param limit attempts that the servers in service can run now
 * @param waitMillis expected wait of an attempt that arrives now, in milliseconds
 */
public record ShardLoad(int waiting, int open, int limit, long waitMillis) {}
