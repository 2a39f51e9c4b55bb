package org.cactusseam.standin;

import io.vertx.core.http.HttpServerResponse;

/**
 * Incarnation and cold-start state that a simulated backend server reports in the headers of each
 * response.
 *
 * @param incarnation identifier that changes with each restart of the server
 * @param cold whether the server is in its cold-start phase
 */
public record ServerCondition(String incarnation, boolean cold) {

  /** Header with the incarnation of the server. */
  public static final String INCARNATION_HEADER = "Cactusseam-Incarnation";

  /** Header with the cold-start state, {@code cold} or {@code warm}. */
  public static final String STATE_HEADER = "Cactusseam-State";

  /**
   * Header of a refusal which guarantees that the request was not executed, so that it may be sent
   * again.
   */
  public static final String NOT_RUN_HEADER = "Cactusseam-Not-Run";

  /**
   * Returns the value of {@link #STATE_HEADER}.
   *
   * @return {@code cold} or {@code warm}
   */
  public String state() {
    return cold ? "cold" : "warm";
  }

  /**
   * Sets the incarnation and state headers of a response.
   *
   * @param response response whose head has not been sent yet
   */
  public void writeTo(HttpServerResponse response) {
    response.putHeader(INCARNATION_HEADER, incarnation);
    response.putHeader(STATE_HEADER, state());
  }
}
