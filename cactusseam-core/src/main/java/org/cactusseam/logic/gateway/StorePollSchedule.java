package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;

/**
 * Determines how often this gateway polls the platform's store. Each gateway immediately forwards
 * the changes that it reads to all others, so the more gateways there are, the less often each has
 * to poll. Calls to the store are billed, and at a fixed interval their number would grow with the
 * number of gateways.
 *
 * <p>An isolated gateway still polls within the time in which a change must take effect.
 */
public final class StorePollSchedule {

  /**
   * Poll interval of the servers per gateway: over all gateways, one poll takes place about every
   * 100 ms, well within the notice of 1.5 s that a reclaimed engine gives.
   */
  private static final Duration INTERVAL_PER_GATEWAY = Duration.ofMillis(100);

  private static final Duration MIN_SERVER_INTERVAL = Duration.ofMillis(400);

  /** Maximum poll interval if the bound on changes leaves little time. */
  private static final Duration SHORT_BOUND_INTERVAL = Duration.ofMillis(1_200);

  /**
   * A connection that went silent is detected after this long-poll timeout plus the timeout of an
   * answer.
   */
  private static final Duration MIN_CONFIGURATION_TIMEOUT = Duration.ofMillis(1_500);

  /**
   * Part of the bound that is reserved for one failed read before the next one: the timeout of an
   * answer.
   */
  private static final Duration FAILED_READ_ALLOWANCE = Duration.ofMillis(1_300);

  /**
   * Time after the recovery of the store with frequent polls. Lapsed entries are back within 2 s of
   * the recovery; those still missing are dropped shortly after.
   */
  private static final Duration RECOVERY_PERIOD = Duration.ofSeconds(4);

  private final Duration maxInterval;
  private int gatewayCount = 1;
  private Instant returnedAt = Instant.MIN;

  /**
   * Creates the schedule of a gateway that does not know any other gateway yet.
   *
   * @param changeBound time within which a change must take effect
   */
  public StorePollSchedule(Duration changeBound) {
    Duration remaining = changeBound.minus(FAILED_READ_ALLOWANCE);
    maxInterval = remaining.compareTo(SHORT_BOUND_INTERVAL) < 0 ? SHORT_BOUND_INTERVAL : remaining;
  }

  /**
   * Sets the number of gateways that poll the store.
   *
   * @param number number of gateways, including this one
   */
  public void setGatewayCount(int number) {
    gatewayCount = Math.max(1, number);
  }

  /** Records that the store answers again after an outage. */
  public void storeReturned(Instant now) {
    returnedAt = now;
  }

  /** Returns the time between two polls of the list of servers. */
  public Duration serverPollInterval(Instant now) {
    boolean returned =
        !returnedAt.equals(Instant.MIN) && now.isBefore(returnedAt.plus(RECOVERY_PERIOD));
    return intervalBetween(MIN_SERVER_INTERVAL, returned ? SHORT_BOUND_INTERVAL : maxInterval);
  }

  /** Returns the long-poll timeout of reads of the configuration. */
  public Duration configurationPollTimeout() {
    return intervalBetween(MIN_CONFIGURATION_TIMEOUT, maxInterval);
  }

  private Duration intervalBetween(Duration lower, Duration upper) {
    Duration interval = INTERVAL_PER_GATEWAY.multipliedBy(gatewayCount);
    if (interval.compareTo(lower) < 0 || upper.compareTo(lower) < 0) {
      return lower;
    }
    return interval.compareTo(upper) > 0 ? upper : interval;
  }
}
