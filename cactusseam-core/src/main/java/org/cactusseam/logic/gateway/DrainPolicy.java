package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.util.Optional;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.GenerationDemand;

/**
 * Decides which requests a gateway still accepts while it shuts down. Callers reuse connections, so
 * requests arrive until the process exits. A request that could be cut off by the exit is refused
 * immediately, so that its caller can retry at another VM.
 */
public final class DrainPolicy {

  /**
   * Time after the shutdown signal during which every stream is accepted: the load balancer still
   * sends new callers, many streams end in time, and a refused caller may reach another VM that is
   * shutting down. Later a stream is accepted only if its maximum length fits into the remaining
   * time.
   */
  static final Duration EARLY_PHASE = Duration.ofMillis(2_500);

  /**
   * Time per token on a loaded engine. A step takes 7 ms plus 0.12 ms per run, with at most 24
   * runs.
   */
  private static final long MILLIS_PER_TOKEN = 10;

  /** Time to first token on a loaded engine. */
  private static final Duration FIRST_EVENT_TIME = Duration.ofSeconds(1);

  private DrainPolicy() {}

  /**
   * Returns whether a request is accepted, given the time until the process exits.
   *
   * @param demand prompt and output lengths of a model request; empty for plain requests
   * @param sinceSignal time since the shutdown signal
   * @param untilEnd time until the process exits
   * @return whether to accept it
   */
  public static boolean isServable(
      GatewayRoute route,
      Optional<GenerationDemand> demand,
      Duration sinceSignal,
      Duration untilEnd) {
    if (!route.repetition().isStream()) {
      return route.timeout().compareTo(untilEnd) <= 0;
    }
    return sinceSignal.compareTo(EARLY_PHASE) < 0
        || demand.map(DrainPolicy::longestRunTime).orElse(route.timeout()).compareTo(untilEnd) <= 0;
  }

  /**
   * Returns whether a request may wait for a server, for the load pattern in which every server is
   * busy when the gateway is stopped. A request that waits has not run, so its caller can be told
   * to try another VM; one that is still waiting when the process exits would be cut off. Both
   * times pass equally fast, so the answer does not change while the request waits.
   *
   * @param untilDeadline time until the time limit of the request ends
   * @param untilExit time until the process exits
   * @return whether the request is answered or refused before the exit at the latest
   */
  public static boolean isWaitingAllowed(Duration untilDeadline, Duration untilExit) {
    return untilDeadline.compareTo(untilExit) <= 0;
  }

  private static Duration longestRunTime(GenerationDemand demand) {
    return FIRST_EVENT_TIME.plusMillis(demand.maximumOutputTokens() * MILLIS_PER_TOKEN);
  }
}
