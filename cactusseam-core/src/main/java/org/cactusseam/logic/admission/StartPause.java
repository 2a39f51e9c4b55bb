package org.cactusseam.logic.admission;

/**
 * Pause in which lower classes start nothing, because an account that returns to its purchased
 * share sends requests. A prompt that an engine computes in the same step doubles the time to the
 * first token of the returning account. A budget bounds the pauses, so that steady use of a share
 * does not stop the lower classes.
 */
final class StartPause {

  /** Pause that a long quiet time allows; one burst of a few seconds. */
  private static final double BUDGET_MILLIS = 2_000;

  /** Part of the time that pauses may take in the long run. */
  private static final double PART = 0.05;

  private final long lengthMillis;
  private double budget = BUDGET_MILLIS;
  private long countedUntil;
  private long pausedUntil;

  /**
   * Creates a pause that is over.
   *
   * @param lengthMillis length after each request of a returning account; 0 for none
   */
  StartPause(long lengthMillis) {
    this.lengthMillis = lengthMillis;
  }

  /**
   * Begins a pause or makes the present one longer. A new one begins only if the budget pays for
   * its whole length, because many short pauses would meet every pass over the waiting attempts.
   */
  void extend(long now) {
    budget = Math.min(BUDGET_MILLIS, budget + PART * Math.max(0, now - countedUntil));
    countedUntil = now;
    long from = Math.max(now, pausedUntil);
    long wanted = Math.max(0, now + lengthMillis - from);
    if (wanted <= budget) {
      budget -= wanted;
      pausedUntil = from + wanted;
    }
  }

  boolean isOver(long now) {
    return now >= pausedUntil;
  }
}
