package org.cactusseam.model.admission;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Summary of a shard's load. Owners send it to requesters, which choose between shards by it.
 *
 * @param waiting number of attempts that wait
 * @param open number of attempts that run
 * @param limit number of attempts that the servers in service can run now
 * @param millisPerAttempt time between two grants while attempts wait, in milliseconds
 * @param waitMillisByRank expected wait of an attempt that arrives now, by rank, in milliseconds
 */
public record ShardLoad(
    int waiting, int open, int limit, double millisPerAttempt, List<Long> waitMillisByRank) {

  /** Load without a wait; assumed for shards that have not published their load yet. */
  public static final ShardLoad NONE = new ShardLoad(0, 0, 1, 0, List.of(0L));

  /** Wait that is assumed for a shard whose servers run exactly as many attempts as they can. */
  private static final double MILLIS_PER_FULL_LOAD = 1_000;

  /** Copies the list of waits. */
  public ShardLoad {
    waitMillisByRank = List.copyOf(waitMillisByRank);
  }

  /**
   * Returns whether an attempt of any rank starts at once, however many attempts the requester sent
   * since this summary. A requester need not distinguish two such loads. Peers receive the result
   * as the last element of a load.
   *
   * @return true if {@link #expectedWaitMillis} is 0 for all arguments
   */
  @JsonProperty("withoutWait")
  public boolean startsImmediately() {
    return limit > 0 && open <= limit && waitMillisByRank.stream().allMatch(wait -> wait == 0);
  }

  /**
   * Returns the expected wait of an attempt.
   *
   * @param rank rank of the attempt's priority class
   * @param sentSince number of attempts that the requester sent since this summary was made
   * @return wait in milliseconds; {@link Double#MAX_VALUE} if no server is in service
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
