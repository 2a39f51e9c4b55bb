package org.cactusseam.logic.shutdown;

import java.time.Duration;

/**
 * Durations of the phases of a shutdown.
 *
 * @param grace time after the announcement during which requests from the load balancer are still
 *     accepted
 * @param drain time after the grace period during which open streams may continue at this daemon
 */
public record ShutdownSettings(Duration grace, Duration drain) {

  /** Default settings: grace period of 10 s and drain time of 10 min. */
  public static final ShutdownSettings DEFAULT =
      new ShutdownSettings(Duration.ofSeconds(10), Duration.ofMinutes(10));
}
