package org.cactusseam.logic.admission;

import java.util.Arrays;

/**
 * Measured speed of service: grants in the last seconds, time per token of a stream and run time of
 * an attempt.
 */
final class ServiceRate {

  private static final int WINDOW_SECONDS = 8;
  private static final double SMOOTHING = 0.05;

  private final int[] grants = new int[WINDOW_SECONDS];
  private long currentSecond;
  private double millisPerToken = 30;
  private double runMillis;

  void granted(long now) {
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
   * give the rate after a quiet time, when few grants were needed.
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
    double byGrants = (double) sum / (WINDOW_SECONDS * 1_000);
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
