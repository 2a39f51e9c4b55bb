package org.cactusseam.logic.gateway;

import java.time.Duration;

/**
 * Decides which requests a gateway still serves while it shuts down, for the load patterns in which
 * callers reuse connections until the process exits, and in which every server is busy. A request
 * that the exit could cut off is refused immediately, so that its caller can retry at another VM.
 *
 * <p>Only the time limit of a request bounds its duration. How long a server takes depends on the
 * prompts and runs that it has from all gateways, and estimates of it were too short under load.
 * The time limit and the time until the exit pass equally fast, so a decision stays valid while the
 * request waits.
 */
public final class DrainPolicy {

  /**
   * Time after the shutdown signal during which a stream is sent whatever its time limit: the load
   * balancer still sends new callers, many streams end in time, and a refused caller may reach
   * another VM that is shutting down.
   */
  static final Duration EARLY_PHASE = Duration.ofMillis(2_500);

  private DrainPolicy() {}

  /**
   * Returns whether a request may be sent to a server.
   *
   * @param isStream whether the response is a stream of events
   * @param untilDeadline time until the time limit of the request ends
   * @param sinceSignal time since the shutdown signal
   * @param untilExit time until the process exits
   * @return whether to send it
   */
  public static boolean isSendingAllowed(
      boolean isStream, Duration untilDeadline, Duration sinceSignal, Duration untilExit) {
    return isWaitingAllowed(untilDeadline, untilExit)
        || (isStream && sinceSignal.compareTo(EARLY_PHASE) < 0);
  }

  /**
   * Returns whether a request may wait for a server. One that waits has not run, so its caller can
   * be told to try another VM; one that still waited at the exit would be cut off.
   *
   * @param untilDeadline time until the time limit of the request ends
   * @param untilExit time until the process exits
   * @return whether the request is answered or refused before the exit at the latest
   */
  public static boolean isWaitingAllowed(Duration untilDeadline, Duration untilExit) {
    return untilDeadline.compareTo(untilExit) <= 0;
  }
}
