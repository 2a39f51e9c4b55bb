package org.cactusseam.logic.hedging;

import java.time.Duration;
import java.util.Locale;
import org.cactusseam.model.gateway.ServerInstance;

/** Decision on a second attempt of a request whose first attempt is slow. */
public sealed interface HedgeDecision {

  /**
   * The second attempt is sent now. It is counted already.
   *
   * @param server server of the second attempt
   * @param threshold age from which the first attempt counts as slow
   * @param shareUsed extra requests of this VM within the window, without this one
   * @param shareLimit extra requests that this VM may send within the window
   */
  record Send(ServerInstance server, Duration threshold, int shareUsed, double shareLimit)
      implements HedgeDecision {}

  /**
   * The decision is made later.
   *
   * @param delay time until then
   */
  record Wait(Duration delay) implements HedgeDecision {}

  /**
   * No second attempt is sent.
   *
   * @param reason reason
   */
  record Denied(Reason reason) implements HedgeDecision {}

  /** Reasons against a second attempt. */
  enum Reason {
    /** The gateway drains. */
    DRAINING,
    /** The window has too few response times of the route. */
    FEW_SAMPLES,
    /** A second attempt is not expected to end before the deadline. */
    LITTLE_TIME,
    /** Requests of the service wait for a server. */
    QUEUE,
    /** Most slots of the servers are taken. */
    BUSY,
    /** Most servers are as slow as the first one. */
    ALL_SLOW,
    /** No server is suitable and has capacity. */
    NO_SERVER,
    /** The share of extra requests is used up. */
    SHARE,
    /** The rest of the retry budget is reserved for retries after failures. */
    RETRY_BUDGET;

    /** Returns the name for metrics and logs. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
