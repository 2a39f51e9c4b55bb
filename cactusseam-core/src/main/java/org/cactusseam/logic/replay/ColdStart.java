package org.cactusseam.logic.replay;

import java.time.Duration;

/**
 * Behaviour of an engine during its cold phase, which follows a start or is triggered later as a
 * fault. The phase ends when the first of the configured conditions (duration or number of finished
 * requests) is met. If neither is configured, the engine starts warm, and a cold phase that is
 * triggered later never ends.
 *
 * @param duration length of the cold phase; zero if the phase is not limited by time
 * @param requests number of finished requests after which the phase ends; 0 if the phase is not
 *     limited by requests
 * @param limit maximum number of concurrently active requests among those received in the phase;
 *     one more crashes the engine
 * @param slowdown factor by which steps take longer while cold, at least 1
 */
public record ColdStart(Duration duration, int requests, int limit, double slowdown) {

  /** Validates the ranges of the components. */
  public ColdStart {
    if (duration.isNegative() || requests < 0 || limit < 1 || slowdown < 1) {
      throw new IllegalArgumentException(
          "cold start needs duration >= 0, requests >= 0, limit >= 1 and slowdown >= 1");
    }
  }

  /**
   * Returns the behaviour of an engine that starts warm.
   *
   * @param limit limit on active requests in a cold phase that is triggered later
   * @return cold start without an initial cold phase
   */
  public static ColdStart none(int limit) {
    return new ColdStart(Duration.ZERO, 0, limit, 1);
  }

  /**
   * Tells whether an engine is cold after a start.
   *
   * @return true if the duration or the number of requests is set
   */
  public boolean startsCold() {
    return requests > 0 || !duration.isZero();
  }
}
