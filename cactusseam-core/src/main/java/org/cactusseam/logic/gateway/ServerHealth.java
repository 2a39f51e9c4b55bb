package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Health of backend servers as the outcomes of requests show it. Health checks are not asked: they
 * can be false either way, and each one is charged.
 *
 * <p>A server that cannot be reached is suspended, longer after each failure in a row. A server
 * that fails part of its requests stays in use with a lower rank, because the others may be worse.
 */
public final class ServerHealth {

  /** First suspension; a restarted server is back after some seconds. */
  private static final Duration SHORTEST_SUSPENSION = Duration.ofMillis(500);

  private static final Duration LONGEST_SUSPENSION = Duration.ofSeconds(4);

  /** Weight of the newest outcome in the share of failures. */
  private static final double NEWEST_WEIGHT = 0.15;

  private final Map<String, State> states = new HashMap<>();

  private static final class State {
    private double failureShare;
    private int unreachableInARow;
    private Instant suspendedUntil = Instant.MIN;
  }

  /**
   * A request ended as the server is expected to end it.
   *
   * @param serverId server
   */
  public void recordSuccess(String serverId) {
    State state = states.get(serverId);
    if (state != null) {
      state.unreachableInARow = 0;
      state.failureShare *= 1 - NEWEST_WEIGHT;
    }
  }

  /**
   * The server answered with a failure of its own, or with something that is no answer.
   *
   * @param serverId server
   */
  public void recordFailure(String serverId) {
    State state = state(serverId);
    state.failureShare += (1 - state.failureShare) * NEWEST_WEIGHT;
  }

  /**
   * The server could not be reached, fell silent or broke a connection.
   *
   * @param serverId server
   * @param now time
   */
  public void recordUnreachable(String serverId, Instant now) {
    recordFailure(serverId);
    State state = state(serverId);
    if (now.isBefore(state.suspendedUntil)) {
      return;
    }
    Duration suspension = SHORTEST_SUSPENSION.multipliedBy(1L << state.unreachableInARow);
    state.suspendedUntil =
        now.plus(suspension.compareTo(LONGEST_SUSPENSION) > 0 ? LONGEST_SUSPENSION : suspension);
    state.unreachableInARow = Math.min(state.unreachableInARow + 1, 8);
  }

  /**
   * The server has started again, or has left.
   *
   * @param serverId server
   */
  public void forget(String serverId) {
    states.remove(serverId);
  }

  /**
   * Returns whether the server is suspended.
   *
   * @param serverId server
   * @param now time
   * @return whether it should get nothing for now
   */
  public boolean isSuspended(String serverId, Instant now) {
    State state = states.get(serverId);
    return state != null && now.isBefore(state.suspendedUntil);
  }

  /**
   * Returns the share of failures among the last requests.
   *
   * @param serverId server
   * @return share, 0 to 1
   */
  public double failureShare(String serverId) {
    State state = states.get(serverId);
    return state == null ? 0 : state.failureShare;
  }

  private State state(String serverId) {
    return states.computeIfAbsent(serverId, id -> new State());
  }
}
