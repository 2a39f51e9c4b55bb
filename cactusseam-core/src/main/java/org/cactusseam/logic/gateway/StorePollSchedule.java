package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;

/**
 * Determines how often this gateway polls the platform's store. Each gateway immediately forwards
 * the changes that it reads to all others, so the more gateways there are, the less often each has
 * to poll. Calls to the store are billed, and at a fixed interval their number would grow with the
 * number of gateways.
 *
 * <p>A gateway that has lost a peer may miss what that peer forwards. It polls within the time in
 * which a change must take effect until all connections have held for a while, as does a gateway
 * that knows few others.
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

  /**
   * Longest poll interval of a gateway that the others keep informed. Half of the 20 s for which
   * the platform's store keeps its history, so that a failed poll leaves no gap.
   */
  private static final Duration INFORMED_INTERVAL = Duration.ofSeconds(10);

  /** Delay before a failed call is repeated, if there are few gateways. */
  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(300);

  /**
   * Delay before a failed call is repeated, for each gateway: during an outage the store gets about
   * 33 calls per second and topic from all gateways together. The first one that succeeds tells the
   * others what has changed.
   */
  private static final Duration RETRY_DELAY_PER_GATEWAY = Duration.ofMillis(30);

  /** Well below the time in which lapsed entries must be read again after an outage, 2.2 s. */
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1_500);

  private final Duration isolatedInterval;
  private int gatewayCount = 1;
  private Instant returnedAt = Instant.MIN;
  private Instant peerLostAt = Instant.MIN;

  /**
   * Creates the schedule of a gateway that does not know any other gateway yet.
   *
   * @param changeBound time within which a change must take effect
   */
  public StorePollSchedule(Duration changeBound) {
    Duration remaining = changeBound.minus(FAILED_READ_ALLOWANCE);
    isolatedInterval =
        remaining.compareTo(SHORT_BOUND_INTERVAL) < 0 ? SHORT_BOUND_INTERVAL : remaining;
  }

  /**
   * Sets the number of gateways that poll the store.
   *
   * @param number number of gateways, including this one
   */
  public void setGatewayCount(int number) {
    gatewayCount = Math.max(1, number);
  }

  /** Records that the connection to a peer has ended. */
  public void recordPeerLost(Instant now) {
    peerLostAt = now;
  }

  /** Returns the longest time between two polls of a gateway that others may not reach. */
  public Duration isolatedInterval() {
    return isolatedInterval;
  }

  /** Records that the store answers again after an outage. */
  public void storeReturned(Instant now) {
    returnedAt = now;
  }

  /** Returns the time between two polls of the list of servers. */
  public Duration serverPollInterval(Instant now) {
    boolean returned =
        !returnedAt.equals(Instant.MIN) && now.isBefore(returnedAt.plus(RECOVERY_PERIOD));
    return intervalBetween(MIN_SERVER_INTERVAL, returned ? SHORT_BOUND_INTERVAL : maximum(now));
  }

  /** Returns the long-poll timeout of reads of the configuration. */
  public Duration configurationPollTimeout(Instant now) {
    return intervalBetween(MIN_CONFIGURATION_TIMEOUT, maximum(now));
  }

  /** Returns the delay before a failed call is repeated. */
  public Duration retryDelay() {
    Duration delay = RETRY_DELAY_PER_GATEWAY.multipliedBy(gatewayCount);
    if (delay.compareTo(MIN_RETRY_DELAY) < 0) {
      return MIN_RETRY_DELAY;
    }
    return delay.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : delay;
  }

  private Duration maximum(Instant now) {
    boolean mayMissRecords =
        !peerLostAt.equals(Instant.MIN) && now.isBefore(peerLostAt.plus(INFORMED_INTERVAL));
    return mayMissRecords ? isolatedInterval : INFORMED_INTERVAL;
  }

  private Duration intervalBetween(Duration lower, Duration upper) {
    Duration interval = INTERVAL_PER_GATEWAY.multipliedBy(gatewayCount);
    if (interval.compareTo(lower) < 0 || upper.compareTo(lower) < 0) {
      return lower;
    }
    return interval.compareTo(upper) > 0 ? upper : interval;
  }
}
