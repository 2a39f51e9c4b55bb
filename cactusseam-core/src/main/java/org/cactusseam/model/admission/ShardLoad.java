package org.cactusseam.model.admission;

import com.fasterxml.jackson.annotation.JsonProperty;
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

  /** Load that counts as no wait, for shards that have not published any. */
  public static final ShardLoad NONE = new ShardLoad(0, 0, 1, 0, List.of(0L));

  /** Wait that counts for a shard whose servers run as much as they can. */
  private static final double MILLIS_PER_FULL_LOAD = 1_000;

  /** Copies the list. */
  public ShardLoad {
    waitMillisByRank = List.copyOf(waitMillisByRank);
  }

  /**
   * Tells whether an attempt of any rank starts at once, however many the requester sent since. Two
   * such loads are the same to a requester. Peers are sent the answer as the last element of a
   * load.
   *
   * @return true if {@link #expectedWaitMillis} is 0 for all arguments
   */
  @JsonProperty("withoutWait")
  public boolean startsImmediately() {
    return limit > 0 && open <= limit && waitMillisByRank.stream().allMatch(wait -> wait == 0);
  }

  /**
   * Returns the expected wait of an attempt; very long if no server is in service.
   *
   * @param rank rank of its priority class
   * @param sentSince attempts that the requester sent since this summary was made
   * @return wait, in milliseconds
   */
  public double expectedWaitMillis(int rank, int sentSince) {
    if (limit == 0) {
      return Double.MAX_VALUE;
    }
    if (open > limit) {
      return (open + sentSince) / (double) limit * MILLIS_PER_FULL_LOAD;
    }
    double wait = waitMillisByRank.get(Math.min(rank, waitMillisByRank.size() - 1));
    return wait == 0 ? 0 : wait + sentSince * millisPerAttempt;
  }
}
