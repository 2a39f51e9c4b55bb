package org.cactusseam.logic.admission;

/**
 * Pauses a backend server after consecutive failures. After the pause one attempt at a time is let
 * through until one succeeds; each further failure doubles the pause.
 */
final class CircuitBreaker {

  private static final long FIRST_PAUSE_MILLIS = 500;
  private static final long LONGEST_PAUSE_MILLIS = 16_000;

  private final int threshold;
  private int failures;
  private long pauseMillis = FIRST_PAUSE_MILLIS;
  private long openUntil;

  CircuitBreaker(int threshold) {
    this.threshold = threshold;
  }

  /** Notes that the server ran an attempt or answered it. */
  void succeeded() {
    failures = 0;
    pauseMillis = FIRST_PAUSE_MILLIS;
    openUntil = 0;
  }

  /** Notes that the server refused an attempt or that its stream broke. */
  void failed(long now) {
    failures++;
    if (failures >= threshold && now >= openUntil) {
      openUntil = now + pauseMillis;
      pauseMillis = Math.min(pauseMillis * 2, LONGEST_PAUSE_MILLIS);
    }
  }

  /**
   * Tells whether an attempt may be sent.
   *
   * @param unconfirmed attempts whose outcome is open
   * @param now time in milliseconds
   */
  boolean allows(int unconfirmed, long now) {
    if (failures < threshold) {
      return true;
    }
    return now >= openUntil && unconfirmed == 0;
  }
}
