package org.cactusseam.logic.admission;

import java.util.List;

/**
 * Summary of a shard's load, sent to requesters so that they can choose between shards.
 *
 * @param waiting attempts that wait
 * @param open attempts that run
 * @param limit attempts that the servers in service can run now
 * @param millisPerAttempt time between two grants while attempts wait, in milliseconds
 * @param waitMillisByRank expected wait of an attempt that arrives now, by rank, in milliseconds
 */
public record ShardLoad(
    int waiting, int open, int limit, double millisPerAttempt, List<Long> waitMillisByRank) {

  /** Copies the list. */
  public ShardLoad {
    waitMillisByRank = List.copyOf(waitMillisByRank);
  }
}
