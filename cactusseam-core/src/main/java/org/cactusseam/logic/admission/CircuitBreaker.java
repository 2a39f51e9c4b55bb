package org.cactusseam.logic.admission;

/**
 * Circuit breaker of one backend server. It opens after a number of consecutive failures. When the
 * open time has passed, it lets one attempt at a time through until one succeeds; each further
 * failure doubles the open time, from 500 ms up to 16 s.
 */
final class CircuitBreaker {

  private static final long INITIAL_OPEN_MILLIS = 500;
  private static final long MAXIMUM_OPEN_MILLIS = 16_000;

  private final int threshold;
  private int consecutiveFailures;
  private long openMillis = INITIAL_OPEN_MILLIS;
  private long openUntil;

  CircuitBreaker(int threshold) {
    this.threshold = threshold;
  }

  /** Records that the server completed or answered an attempt, which closes the breaker. */
  void recordSuccess() {
    consecutiveFailures = 0;
    openMillis = INITIAL_OPEN_MILLIS;
    openUntil = 0;
  }

  /** Records that the server refused an attempt or that the connection of a stream broke. */
  void recordFailure(long now) {
    consecutiveFailures++;
    if (consecutiveFailures >= threshold && now >= openUntil) {
      openUntil = now + openMillis;
      openMillis = Math.min(openMillis * 2, MAXIMUM_OPEN_MILLIS);
    }
  }

  /**
   * Returns whether an attempt may be sent.
   *
   * @param unconfirmed number of attempts sent to the server that it has not answered yet
   * @param now time in milliseconds
   */
  boolean allows(int unconfirmed, long now) {
    if (consecutiveFailures < threshold) {
      return true;
    }
    return now >= openUntil && unconfirmed == 0;
  }
}
