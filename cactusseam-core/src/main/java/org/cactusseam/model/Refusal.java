package org.cactusseam.model;

import java.time.Duration;

/**
 * Final answer to a request that does not get a result.
 *
 * @param code numbered reason
 * @param detail text for people, without secrets
 * @param retryAfter when the caller may come again; zero if coming again does not help
 */
public record Refusal(ResultCode code, String detail, Duration retryAfter) {

  /**
   * Makes a refusal that coming again does not change.
   *
   * @param code numbered reason
   * @param detail text for people
   * @return the refusal
   */
  public static Refusal permanent(ResultCode code, String detail) {
    return new Refusal(code, detail, Duration.ZERO);
  }
}
