package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;

/**
 * Share of this VM in the request rate that all VMs together must not exceed at one backend server,
 * kept as a token bucket. It also applies to servers that seem warm: a server can become cold at
 * any moment, and its entry in the store says so only after the requests have arrived.
 *
 * <p>The bucket always holds at least one request. If there are more VMs than requests in the
 * burst, the limit can be exceeded when all of them choose the same server within a second.
 */
final class RateLimitShare {

  private static final double MILLIS_PER_SECOND = 1_000;

  private double perSecond;
  private double burst;
  private double tokens;
  private Instant refilledAt;

  /**
   * Creates a share with a full bucket.
   *
   * @param limit rate limit of a cold server
   * @param vms number of VMs that share the limit
   */
  RateLimitShare(ColdLimit limit, int vms, Instant now) {
    this.perSecond = limit.perSecond() / vms;
    this.burst = Math.max(1, limit.burst() / vms);
    this.tokens = burst;
    this.refilledAt = now;
  }

  /**
   * Changes the limit or the number of VMs. What was consumed stays consumed: a share that started
   * anew with each VM that joins would allow a burst at each of them.
   *
   * @param limit rate limit of a cold server
   * @param vms number of VMs that share the limit
   */
  void adjust(ColdLimit limit, int vms, Instant now) {
    refill(now);
    perSecond = limit.perSecond() / vms;
    burst = Math.max(1, limit.burst() / vms);
    tokens = Math.min(burst, tokens);
  }

  /** Returns whether one more request may be sent now. */
  boolean hasCapacity(Instant now) {
    refill(now);
    return tokens >= 1;
  }

  private void refill(Instant now) {
    double elapsed = Duration.between(refilledAt, now).toMillis() / MILLIS_PER_SECOND;
    tokens = Math.min(burst, tokens + elapsed * perSecond);
    refilledAt = now;
  }

  /** Consumes one request. */
  void take() {
    tokens -= 1;
  }
}
