package org.cactusseam.logic.idempotency;

import java.time.Duration;
import java.time.Instant;
import org.cactusseam.model.claim.ClaimKey;

/**
 * Time and size limits for the claims of one daemon.
 *
 * @param retention minimum time for which the platform's log retains a record
 * @param dispatchLease time for which a daemon may send a request after it read back its own claim
 *     or renewed the lease. It protects against a paused process: on resuming after a longer pause,
 *     the daemon releases the claim instead of sending a request whose caller may have disconnected
 * @param queryTimeout timeout for querying the state of a claim from another daemon
 * @param responseTtl time for which responses are stored
 * @param responseCacheBytes maximum total size of all stored responses, in bytes
 */
public record ClaimSettings(
    Duration retention,
    Duration dispatchLease,
    Duration queryTimeout,
    Duration responseTtl,
    long responseCacheBytes) {

  /** Tolerated clock skew between callers and entry daemons. */
  public static final Duration CLOCK_TOLERANCE = Duration.ofMinutes(5);

  private static final int MIN_RETENTION_IN_TOLERANCES = 4;

  /**
   * Validates that the log retains every claim of a key that is still accepted.
   *
   * @throws IllegalArgumentException if the retention is shorter than 20 minutes
   */
  public ClaimSettings {
    // With a retention of R, a key is accepted up to the age W = R / 2, and its claims can be W + 5
    // min old. The log must still retain them.
    if (retention.compareTo(CLOCK_TOLERANCE.multipliedBy(MIN_RETENTION_IN_TOLERANCES)) < 0) {
      throw new IllegalArgumentException("log retention must be at least 20 min: " + retention);
    }
  }

  /**
   * Creates settings with the default limits: a dispatch lease lasts 1 s, which is the validity of
   * a permit, and responses are stored for 10 min in at most 16 MiB.
   *
   * @param retention minimum time for which the log retains a record
   * @return settings with default limits
   */
  public static ClaimSettings of(Duration retention) {
    return new ClaimSettings(
        retention, Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofMinutes(10), 16 << 20);
  }

  /**
   * Returns the acceptance window: the maximum age at which a key is accepted.
   *
   * @return half of the log retention
   */
  public Duration acceptanceWindow() {
    return retention.dividedBy(2);
  }

  boolean isExpired(ClaimKey key, Instant now) {
    return key.time().isBefore(now.minus(acceptanceWindow()));
  }

  boolean isInFuture(ClaimKey key, Instant now) {
    return key.time().isAfter(now.plus(CLOCK_TOLERANCE));
  }
}
