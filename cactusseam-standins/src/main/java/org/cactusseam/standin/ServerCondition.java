package org.cactusseam.standin;

import io.vertx.core.http.HttpServerResponse;

/**
 * What a backend server says of itself in the head of each response.
 *
 * @param incarnation identity of its run
 * @param cold whether it is in cold start
 */
public record ServerCondition(String incarnation, boolean cold) {

  /** Header with the identity of the run. */
  public static final String INCARNATION_HEADER = "Cactusseam-Incarnation";

  /** Header that says {@code cold} or {@code warm}. */
  public static final String STATE_HEADER = "Cactusseam-State";

  /** Header of a refusal that promises that the request did not run. */
  public static final String NOT_RUN_HEADER = "Cactusseam-Not-Run";

  /**
   * Returns the state as the protocol names it.
   *
   * @return {@code cold} or {@code warm}
   */
  public String state() {
    return cold ? "cold" : "warm";
  }

  /**
   * Sets the headers of a response.
   *
   * @param response response whose head is not yet sent
   */
  public void writeTo(HttpServerResponse response) {
    response.putHeader(INCARNATION_HEADER, incarnation);
    response.putHeader(STATE_HEADER, state());
  }
}
