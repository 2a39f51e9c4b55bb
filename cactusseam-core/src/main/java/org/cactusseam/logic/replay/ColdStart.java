package org.cactusseam.logic.replay;

import java.time.Duration;

/**
 * Behaviour of an engine after its start or after it became cold again. The cold phase ends at the
 * first of the two triggers that are set; without a trigger the engine starts warm, and a later
 * cold phase has no end.
 *
 * @param duration length of the phase; zero if time does not end it
 * @param requests number of finished requests that ends the phase; 0 if requests do not end it
 * @param limit requests received in the phase that may be active at once; one more crashes the
 *     engine
 * @param slowdown factor on the step time, at least 1
 */
public record ColdStart(Duration duration, int requests, int limit, double slowdown) {

  /** Checks the ranges. */
  public ColdStart {
    if (duration.isNegative() || requests < 0 || limit < 1 || slowdown < 1) {
      throw new IllegalArgumentException("cold start needs limit >= 1 and slowdown >= 1");
    }
  }

  /**
   * Describes an engine that starts warm.
   *
   * @param limit limit of a later cold phase
   * @return the description
   */
  public static ColdStart none(int limit) {
    return new ColdStart(Duration.ZERO, 0, limit, 1);
  }

  /**
   * Tells whether an engine begins cold.
   *
   * @return true if a trigger is set
   */
  public boolean startsCold() {
    return requests > 0 || !duration.isZero();
  }
}
