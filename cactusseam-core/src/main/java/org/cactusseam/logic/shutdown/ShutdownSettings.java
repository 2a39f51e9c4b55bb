package org.cactusseam.logic.shutdown;

import java.time.Duration;

/**
 * Times of a shutdown.
 *
 * @param grace time after the announcement for which the load balancer may still send requests
 * @param drain time after the grace period for which streams may continue here
 */
public record ShutdownSettings(Duration grace, Duration drain) {

  /** Grace period of 10 s and drain time of 10 min. */
  public static final ShutdownSettings USUAL =
      new ShutdownSettings(Duration.ofSeconds(10), Duration.ofMinutes(10));
}
