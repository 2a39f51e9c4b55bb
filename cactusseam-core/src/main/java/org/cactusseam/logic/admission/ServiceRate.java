package org.cactusseam.logic.admission;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Measured service rate of a shard: grants in the last 8 seconds, and moving averages of the time
 * per token of a stream and of the run time of an attempt.
 */
final class ServiceRate {

  private static final int WINDOW_SECONDS = 8;
  private static final double SMOOTHING = 0.05;

  /**
   * Minimum time over which grants are averaged; a shorter time since the first grant gives no
   * meaningful rate.
   */
  private static final long MINIMUM_WINDOW_MILLIS = 1_000;

  private final int[] grants = new int[WINDOW_SECONDS];
  private long currentSecond;
  private double millisPerToken = 30;
  private double runMillis;
  private OptionalLong firstGrantAt = OptionalLong.empty();

  /** Counts a grant. */
  void recordGrant(long now) {
    firstGrantAt = OptionalLong.of(firstGrantAt.orElse(now));
    advance(now);
    grants[(int) (currentSecond % WINDOW_SECONDS)]++;
  }

  /** Records the tokens that one stream generated in a time. */
  void recordTokens(long tokens, long millis) {
    if (tokens > 0 && millis > 0) {
      millisPerToken += SMOOTHING * ((double) millis / tokens - millisPerToken);
    }
  }

  /** Records the run time of a completed attempt. */
  void recordRunTime(long millis) {
    runMillis = runMillis == 0 ? millis : runMillis + SMOOTHING * (millis - runMillis);
  }

  double millisPerToken() {
    return millisPerToken;
  }

  /**
   * Returns the expected wait behind other attempts. The rate is the higher of two estimates:
   * recent grants per time, and open attempts divided by their mean run time, which is better after
   * a quiet period with few grants. A new owner of a shard averages its grants over the time since
   * its first grant. Averaged over the whole window, the rate would be so low that it would refuse
   * the attempts of a queue that it took over.
   *
   * @param ahead number of attempts that are served first
   * @param open number of attempts that run
   * @param now time in milliseconds
   * @return expected wait in milliseconds; 0 while nothing was measured
   */
  double waitMillis(int ahead, int open, long now) {
    advance(now);
    int sum = 0;
    for (int count : grants) {
      sum += count;
    }
    long observed = now - firstGrantAt.orElse(now);
    long window = Math.clamp(observed, MINIMUM_WINDOW_MILLIS, WINDOW_SECONDS * 1_000L);
    double byGrants = (double) sum / window;
    double byRunTime = runMillis == 0 ? 0 : open / runMillis;
    double rate = Math.max(byGrants, byRunTime);
    return rate == 0 ? 0 : ahead / rate;
  }

  private void advance(long now) {
    long second = now / 1_000;
    if (second - currentSecond >= WINDOW_SECONDS) {
      Arrays.fill(grants, 0);
      currentSecond = second;
    }
    while (currentSecond < second) {
      currentSecond++;
      grants[(int) (currentSecond % WINDOW_SECONDS)] = 0;
    }
  }
}
