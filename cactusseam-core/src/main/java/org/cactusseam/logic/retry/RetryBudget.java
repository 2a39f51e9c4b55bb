package org.cactusseam.logic.retry;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * Bound on the retries of one pool: a share of its first attempts, plus a small floor, so that a
 * failing pool does not get a multiple of its load.
 *
 * <p>Retries are paid from a balance. Each first attempt adds its share, and time adds the floor.
 * The balance is bounded, so a quiet hour does not pay for a burst of retries.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class RetryBudget {

  /** Retries for each first attempt; one in ten keeps the load of a failing pool below 110 %. */
  public static final double USUAL_SHARE = 0.1;

  /** Retries per second that a pool with few requests may always make. */
  public static final double USUAL_FLOOR_PER_SECOND = 1;

  /** Time over which unused retries are kept. */
  private static final Duration MEMORY = Duration.ofSeconds(10);

  /** Absorbs the rounding of ten additions of 0.1. */
  private static final double ROUNDING = 1e-9;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Clock clock;
  private final double share;
  private final double floorPerSecond;
  private Instant updatedAt;
  private double fromFloor;
  private double fromAttempts;

  /**
   * Creates a budget with the floor of one memory time.
   *
   * @param share retries for each first attempt
   * @param floorPerSecond retries per second without first attempts
   * @param clock source of time
   */
  public RetryBudget(double share, double floorPerSecond, Clock clock) {
    this.share = share;
    this.floorPerSecond = floorPerSecond;
    this.clock = clock;
    this.updatedAt = clock.instant();
    this.fromFloor = floorPerSecond * MEMORY.toSeconds();
  }

  /** Notes the first attempt of a request. */
  public void firstAttempt() {
    refresh();
    fromAttempts += share;
  }

  /**
   * Takes a retry from the budget.
   *
   * @return true if the retry may be made
   */
  public boolean tryRetry() {
    refresh();
    if (fromAttempts + ROUNDING >= 1) {
      fromAttempts = Math.max(0, fromAttempts - 1);
      return true;
    }
    if (fromFloor + ROUNDING >= 1) {
      fromFloor = Math.max(0, fromFloor - 1);
      return true;
    }
    return false;
  }

  /** Adds the floor and lets the share of old first attempts decay over the memory time. */
  private void refresh() {
    Instant now = clock.instant();
    double seconds = Duration.between(updatedAt, now).toMillis() / MILLIS_PER_SECOND;
    updatedAt = now;
    fromFloor = Math.min(fromFloor + floorPerSecond * seconds, floorPerSecond * MEMORY.toSeconds());
    fromAttempts *= Math.exp(-seconds / MEMORY.toSeconds());
  }
}
