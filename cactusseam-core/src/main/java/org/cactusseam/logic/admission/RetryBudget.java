package org.cactusseam.logic.admission;

/**
 * Bounds retries to a part of the first attempts, so that a failing pool does not get a multiple of
 * its load.
 */
final class RetryBudget {

  private static final double CAPACITY = 20;

  private final double part;
  private double available = CAPACITY / 2;

  RetryBudget(double part) {
    this.part = part;
  }

  void firstAttempt() {
    available = Math.min(CAPACITY, available + part);
  }

  /** Takes one retry; returns false if none is left. */
  boolean takeRetry() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
