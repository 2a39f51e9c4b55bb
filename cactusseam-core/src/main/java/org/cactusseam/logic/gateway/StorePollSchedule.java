package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;

/**
 * Chooses how often one of many gateways reads the platform's store. Each of them tells all others
 * at once what it finds changed, so the more there are, the less often each has to read for all to
 * know soon. Calls to the store are charged, and at a fixed pace they grow with the gateways.
 *
 * <p>A gateway that no other one reaches still reads well within the time in which a change must be
 * in force.
 */
public final class StorePollSchedule {

  /**
   * Time between two reads of the servers for each gateway: one of them reads about every 100 ms,
   * well within the notice of a reclaimed engine (1.5 s).
   */
  private static final Duration PER_GATEWAY = Duration.ofMillis(100);

  private static final Duration SHORTEST_PAUSE = Duration.ofMillis(400);

  /** Longest pause where the bound on changes leaves little time. */
  private static final Duration SHORT_BOUND_PAUSE = Duration.ofMillis(1_200);

  /** A connection that went silent is given up after this wait and the timeout of an answer. */
  private static final Duration SHORTEST_WAIT = Duration.ofMillis(1_500);

  /** Part of the bound for one read that fails and the next one: the timeout of an answer. */
  private static final Duration FAILED_READ = Duration.ofMillis(1_300);

  /** Lapsed entries are back within 2 s of the store's return and dropped a little later. */
  private static final Duration AFTER_RETURN = Duration.ofSeconds(4);

  private final Duration longest;
  private int gateways = 1;
  private Instant returnedAt = Instant.MIN;

  /**
   * Creates the pace of a gateway that knows of no other one.
   *
   * @param changeBound time in which a change must be in force
   */
  public StorePollSchedule(Duration changeBound) {
    Duration left = changeBound.minus(FAILED_READ);
    longest = left.compareTo(SHORT_BOUND_PAUSE) < 0 ? SHORT_BOUND_PAUSE : left;
  }

  /**
   * Sets the number of gateways.
   *
   * @param number number of gateways, this one included
   */
  public void setGatewayCount(int number) {
    gateways = Math.max(1, number);
  }

  /**
   * The store answers again after it was away.
   *
   * @param now time
   */
  public void storeReturned(Instant now) {
    returnedAt = now;
  }

  /**
   * Returns the time between two reads of the servers.
   *
   * @param now time
   * @return pause
   */
  public Duration serverPollInterval(Instant now) {
    boolean returned =
        !returnedAt.equals(Instant.MIN) && now.isBefore(returnedAt.plus(AFTER_RETURN));
    return clamp(SHORTEST_PAUSE, returned ? SHORT_BOUND_PAUSE : longest);
  }

  /**
   * Returns how long a read of the configuration waits for a change.
   *
   * @return wait
   */
  public Duration configurationPollTimeout() {
    return clamp(SHORTEST_WAIT, longest);
  }

  private Duration clamp(Duration shortest, Duration most) {
    Duration pace = PER_GATEWAY.multipliedBy(gateways);
    if (pace.compareTo(shortest) < 0 || most.compareTo(shortest) < 0) {
      return shortest;
    }
    return pace.compareTo(most) > 0 ? most : pace;
  }
}
