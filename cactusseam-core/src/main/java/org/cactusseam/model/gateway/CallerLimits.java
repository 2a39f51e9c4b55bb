package org.cactusseam.model.gateway;

import java.time.Duration;

/**
 * What a caller may send and how long it may stay idle.
 *
 * @param headerBytes longest head of a request, in bytes
 * @param bodyBytes longest body of a request, in bytes
 * @param idleTimeout time after which an idle connection is closed
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration idleTimeout) {

  /** Limits that hold before a configuration is known. */
  public static final CallerLimits INITIAL =
      new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(15));
}
