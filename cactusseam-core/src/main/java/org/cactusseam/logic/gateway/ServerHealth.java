package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the health of backend servers by the outcomes of requests. Health checks are not used:
 * they can report both false failures and false successes, and each one is billed.
 *
 * <p>An unreachable server is suspended with exponential backoff. A server that fails some of its
 * requests remains in use at a higher cost, because the others may be worse.
 */
public final class ServerHealth {

  /** First suspension. A restarted server is back after some seconds. */
  private static final Duration MIN_SUSPENSION = Duration.ofMillis(500);

  private static final Duration MAX_SUSPENSION = Duration.ofSeconds(4);

  /** Weight of the newest outcome in the moving average of failures. */
  private static final double NEWEST_OUTCOME_WEIGHT = 0.15;

  private final Map<String, State> states = new HashMap<>();

  private static final class State {
    private double failureShare;
    private int consecutiveUnreachable;
    private Instant suspendedUntil = Instant.MIN;
  }

  /** Records that a request ended as expected. */
  public void recordSuccess(String serverId) {
    State state = states.get(serverId);
    if (state != null) {
      state.consecutiveUnreachable = 0;
      state.failureShare *= 1 - NEWEST_OUTCOME_WEIGHT;
    }
  }

  /** Records that the server answered with an error or with an invalid response. */
  public void recordFailure(String serverId) {
    State state = state(serverId);
    state.failureShare += (1 - state.failureShare) * NEWEST_OUTCOME_WEIGHT;
  }

  /**
   * Records that the server could not be reached, stopped responding or broke a connection.
   * Suspends it unless it is suspended already.
   */
  public void recordUnreachable(String serverId, Instant now) {
    recordFailure(serverId);
    State state = state(serverId);
    if (now.isBefore(state.suspendedUntil)) {
      return;
    }
    Duration suspension = MIN_SUSPENSION.multipliedBy(1L << state.consecutiveUnreachable);
    state.suspendedUntil =
        now.plus(suspension.compareTo(MAX_SUSPENSION) > 0 ? MAX_SUSPENSION : suspension);
    state.consecutiveUnreachable = Math.min(state.consecutiveUnreachable + 1, 8);
  }

  /** Removes the state of a server that has restarted or left. */
  public void forget(String serverId) {
    states.remove(serverId);
  }

  /**
   * Returns whether a server is suspended.
   *
   * @return whether it must not get requests for now
   */
  public boolean isSuspended(String serverId, Instant now) {
    State state = states.get(serverId);
    return state != null && now.isBefore(state.suspendedUntil);
  }

  /**
   * Returns the failure rate of the last requests, as an exponential moving average.
   *
   * @return rate from 0 to 1
   */
  public double failureShare(String serverId) {
    State state = states.get(serverId);
    return state == null ? 0 : state.failureShare;
  }

  private State state(String serverId) {
    return states.computeIfAbsent(serverId, id -> new State());
  }
}
