package org.cactusseam.logic.idempotency;

import java.time.Duration;
import java.time.Instant;
import org.cactusseam.model.claim.ClaimKey;

/**
 * Limits of the claims of one node.
 *
 * @param retention time for which the platform's log keeps a record at least
 * @param dispatchLease time for which a node may send a request after it read its own claim or
 *     renewed the right. It bounds what a paused node does: when it runs again, it releases the
 *     claim instead of sending a request whose caller may be gone
 * @param answerTimeout time to wait for the node of another claim
 * @param responseTtl time for which answers are held
 * @param responseCacheBytes bound on the bodies of all held answers, in bytes
 */
public record ClaimSettings(
    Duration retention,
    Duration dispatchLease,
    Duration answerTimeout,
    Duration responseTtl,
    long responseCacheBytes) {

  /** Difference between clocks of callers and nodes that is tolerated. */
  public static final Duration CLOCK_TOLERANCE = Duration.ofMinutes(5);

  private static final int MINIMUM_RETENTION_TOLERANCES = 4;

  /** Checks that the log retains every claim of a key that is still accepted. */
  public ClaimSettings {
    // A key of age W = R / 2 can have claims of age W + 5 min; the log must still hold them.
    if (retention.compareTo(CLOCK_TOLERANCE.multipliedBy(MINIMUM_RETENTION_TOLERANCES)) < 0) {
      throw new IllegalArgumentException("retention is too short: " + retention);
    }
  }

  /**
   * Makes settings with the usual limits: a right of 1 s, which is the validity of a permit, and 16
   * MiB of answers for 10 min.
   *
   * @param retention time for which the log keeps a record at least
   * @return the settings
   */
  public static ClaimSettings of(Duration retention) {
    return new ClaimSettings(
        retention, Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofMinutes(10), 16 << 20);
  }

  /**
   * Returns the age up to which a key is accepted.
   *
   * @return half of the retention
   */
  public Duration window() {
    return retention.dividedBy(2);
  }

  boolean isExpired(ClaimKey key, Instant now) {
    return key.time().isBefore(now.minus(window()));
  }

  boolean isInFuture(ClaimKey key, Instant now) {
    return key.time().isAfter(now.plus(CLOCK_TOLERANCE));
  }
}
