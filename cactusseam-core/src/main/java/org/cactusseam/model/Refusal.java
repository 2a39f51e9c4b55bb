package org.cactusseam.model;

import java.time.Duration;

/**
 * Error response to a request that is not served.
 *
 * @param code result code with the HTTP status
 * @param detail human-readable explanation, without secrets
 * @param retryAfter delay after which the caller may retry; zero if a retry does not help
 */
public record Refusal(ResultCode code, String detail, Duration retryAfter) {

  /**
   * Creates a refusal for which a retry does not help.
   *
   * @param code result code with the HTTP status
   * @param detail human-readable explanation, without secrets
   * @return refusal without a retry delay
   */
  public static Refusal permanent(ResultCode code, String detail) {
    return new Refusal(code, detail, Duration.ZERO);
  }
}
