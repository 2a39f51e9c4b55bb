package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;

/**
 * This VM's part of a rate that all VMs together must not exceed at one backend server. It always
 * applies, also to servers that seem warm: a server can become cold at any moment, and its entry
 * says so later than the requests arrive.
 */
final class RateShare {

  private static final double MILLIS_PER_SECOND = 1_000;

  private double tokens;
  private Instant refilledAt;
  private boolean fresh = true;

  RateShare(Instant now) {
    this.refilledAt = now;
  }

  /**
   * Returns whether one more request may be sent.
   *
   * @param perSecond rate of this VM, in requests a second
   * @param now time
   */
  boolean isOpen(double perSecond, Instant now) {
    refill(perSecond, now);
    return tokens >= 1;
  }

  /** Takes one request. */
  void take() {
    tokens -= 1;
  }

  private void refill(double perSecond, Instant now) {
    double capacity = Math.max(1, perSecond);
    double elapsed = Duration.between(refilledAt, now).toMillis() / MILLIS_PER_SECOND;
    tokens = fresh ? capacity : Math.min(capacity, tokens + elapsed * perSecond);
    fresh = false;
    refilledAt = now;
  }
}
