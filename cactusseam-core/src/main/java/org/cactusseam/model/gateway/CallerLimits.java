package org.cactusseam.model.gateway;

import java.time.Duration;

/**
 * Limits on the requests of callers and on the idle time of their connections.
 *
 * @param headerBytes maximum size of the request line and headers, in bytes
 * @param bodyBytes maximum size of a request body, in bytes
 * @param idleTimeout time after which an idle connection is closed
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration idleTimeout) {

  /** Limits that apply until the first configuration is received. */
  public static final CallerLimits INITIAL =
      new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(15));
}
