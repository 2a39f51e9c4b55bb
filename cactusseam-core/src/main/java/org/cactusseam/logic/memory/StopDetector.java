package org.cactusseam.logic.memory;

import java.time.Duration;
import java.time.Instant;

/**
 * Detects from the gap between two checks that the process was stopped. What clients sent meanwhile
 * has not been read, so the time must not count against them. Not thread-safe.
 */
public final class StopDetector {

  /** Checks are 50 ms apart; a busy event loop delays them by some of these intervals. */
  private static final Duration MAXIMUM_GAP = Duration.ofMillis(250);

  private Instant checkedAt;

  /**
   * Creates a detector.
   *
   * @param now current time
   */
  public StopDetector(Instant now) {
    this.checkedAt = now;
  }

  /**
   * Records a check.
   *
   * @param now current time
   * @return time since the previous check if the process was stopped in it, otherwise zero
   */
  public Duration check(Instant now) {
    Duration gap = Duration.between(checkedAt, now);
    checkedAt = now;
    return gap.compareTo(MAXIMUM_GAP) > 0 ? gap : Duration.ZERO;
  }
}
