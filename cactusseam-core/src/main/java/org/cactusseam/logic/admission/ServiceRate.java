package org.cactusseam.logic.admission;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Measured speed of service: grants in the last seconds, time per token of a stream and run time of
 * an attempt.
 */
final class ServiceRate {

  private static final int WINDOW_SECONDS = 8;
  private static final double SMOOTHING = 0.05;

  /** A shorter time since the first grant says nothing about a rate. */
  private static final long SHORTEST_WINDOW_MILLIS = 1_000;

  private final int[] grants = new int[WINDOW_SECONDS];
  private long currentSecond;
  private double millisPerToken = 30;
  private double runMillis;
  private OptionalLong firstGrantAt = OptionalLong.empty();

  void granted(long now) {
    firstGrantAt = OptionalLong.of(firstGrantAt.orElse(now));
    advance(now);
    grants[(int) (currentSecond % WINDOW_SECONDS)]++;
  }

  void generated(long tokens, long millis) {
    if (tokens > 0 && millis > 0) {
      millisPerToken += SMOOTHING * ((double) millis / tokens - millisPerToken);
    }
  }

  void ran(long millis) {
    runMillis = runMillis == 0 ? millis : runMillis + SMOOTHING * (millis - runMillis);
  }

  double millisPerToken() {
    return millisPerToken;
  }

  /**
   * Returns the expected wait behind other attempts. Open attempts divided by their mean run time
   * give the rate after a quiet time, when few grants were needed. A new owner counts its grants
   * over the time since the first one; over the whole window it would refuse a queue that it took
   * over as hopeless.
   *
   * @param ahead attempts that are served first
   * @param open attempts that run
   * @param now time in milliseconds
   * @return milliseconds; 0 while nothing was measured
   */
  double waitMillis(int ahead, int open, long now) {
    advance(now);
    int sum = 0;
    for (int count : grants) {
      sum += count;
    }
    long observed = now - firstGrantAt.orElse(now);
    long window = Math.clamp(observed, SHORTEST_WINDOW_MILLIS, WINDOW_SECONDS * 1_000L);
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
