package org.cactusseam.logic.admission;

/**
 * Pause in which no attempts of lower classes start, because an account that returns to its
 * purchased share sends requests. A prompt of a lower class in the same engine step would double
 * the time to first token of that account. A time budget limits the pauses, so that steady use of a
 * share does not starve the lower classes.
 */
final class StartPause {

  /**
   * Maximum budget, reached after a long time without pauses; enough for one burst of a few
   * seconds.
   */
  private static final double MAXIMUM_BUDGET_MILLIS = 2_000;

  /** Fraction of the time that pauses may take in the long run. */
  private static final double MAXIMUM_PAUSED_FRACTION = 0.05;

  private final long pauseMillis;
  private double budgetMillis = MAXIMUM_BUDGET_MILLIS;
  private long budgetUpdatedAt;
  private long pausedUntil;

  /**
   * Creates an instance without a current pause.
   *
   * @param pauseMillis length of the pause after each request of a returning account, in
   *     milliseconds; 0 for none
   */
  StartPause(long pauseMillis) {
    this.pauseMillis = pauseMillis;
  }

  /**
   * Starts a pause or extends the current one so that it ends the configured length from now.
   * Nothing changes unless the budget covers the whole extension, because many short pauses would
   * hit every admission pass.
   */
  void extend(long now) {
    budgetMillis =
        Math.min(
            MAXIMUM_BUDGET_MILLIS,
            budgetMillis + MAXIMUM_PAUSED_FRACTION * Math.max(0, now - budgetUpdatedAt));
    budgetUpdatedAt = now;
    long from = Math.max(now, pausedUntil);
    long extension = Math.max(0, now + pauseMillis - from);
    if (extension <= budgetMillis) {
      budgetMillis -= extension;
      pausedUntil = from + extension;
    }
  }

  boolean isOver(long now) {
    return now >= pausedUntil;
  }
}
