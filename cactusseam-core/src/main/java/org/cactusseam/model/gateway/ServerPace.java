package org.cactusseam.model.gateway;

/**
 * Pace that a backend server states: how long work takes on its machine at this moment. Servers
 * share their machines with other workloads, so the value may change several times a second.
 *
 * @param percent duration of work in percent of its usual duration, from 1 to {@link #MAX_PERCENT}
 */
public record ServerPace(int percent) {

  /** Largest percentage that is accepted. A larger value is a fault of the server. */
  public static final int MAX_PERCENT = 100_000;

  /** Pace at which work takes as long as usual. */
  public static final int USUAL_PERCENT = 100;

  /** Checks the range. */
  public ServerPace {
    if (percent < 1 || percent > MAX_PERCENT) {
      throw new IllegalArgumentException("pace of " + percent + " percent");
    }
  }
}
