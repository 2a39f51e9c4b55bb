package org.cactusseam.logic.admission;

/**
 * Limits retries to a fraction of the first attempts, so that retries do not multiply the load of a
 * failing pool.
 */
final class RetryBudget {

  private static final double CAPACITY = 20;

  private final double retriesPerAttempt;
  private double credit = CAPACITY / 2;

  RetryBudget(double retriesPerAttempt) {
    this.retriesPerAttempt = retriesPerAttempt;
  }

  /** Adds the retry credit that one first attempt earns, up to a credit of 20 retries. */
  void addCredit() {
    credit = Math.min(CAPACITY, credit + retriesPerAttempt);
  }

  /** Consumes one retry from the budget. Returns false if the budget is used up. */
  boolean tryConsumeRetry() {
    if (credit < 1) {
      return false;
    }
    credit -= 1;
    return true;
  }
}
