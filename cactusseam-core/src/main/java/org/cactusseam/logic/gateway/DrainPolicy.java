package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.util.Optional;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.GenerationDemand;

/**
 * Decides which requests a gateway still takes while it shuts down. Callers keep connections open
 * for many requests, so requests arrive until the process ends. One that would be cut off at the
 * end is refused at once, and its caller goes to another VM.
 */
public final class DrainPolicy {

  /**
   * Time from the signal during which every stream is taken: the balancer still sends new callers,
   * many streams end in time, and a refused caller may meet another VM that shuts down. Later the
   * longest possible length must fit: a stream that is taken late must not be cut off.
   */
  static final Duration EARLY = Duration.ofMillis(2_500);

  /**
   * Time for one token on a loaded engine: steps take 7 ms and 0.12 ms for each run, 24 at most.
   */
  private static final long MILLIS_PER_TOKEN = 10;

  /** Time to the first event on a loaded engine. */
  private static final Duration FIRST_EVENT = Duration.ofSeconds(1);

  private DrainPolicy() {}

  /**
   * Returns whether a request can be served before the process ends.
   *
   * @param route its route
   * @param demand what it asks of an engine, if it is a model request
   * @param sinceSignal time since the signal to stop
   * @param untilEnd time until the process ends
   * @return whether to take it
   */
  public static boolean isServable(
      GatewayRoute route,
      Optional<GenerationDemand> demand,
      Duration sinceSignal,
      Duration untilEnd) {
    if (!route.repetition().isStream()) {
      return route.timeout().compareTo(untilEnd) <= 0;
    }
    return sinceSignal.compareTo(EARLY) < 0
        || demand.map(DrainPolicy::longestTime).orElse(route.timeout()).compareTo(untilEnd) <= 0;
  }

  private static Duration longestTime(GenerationDemand demand) {
    return FIRST_EVENT.plusMillis(demand.maximumOutputTokens() * MILLIS_PER_TOKEN);
  }
}
