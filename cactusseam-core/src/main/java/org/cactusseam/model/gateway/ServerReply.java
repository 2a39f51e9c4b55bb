package org.cactusseam.model.gateway;

/**
 * Decoded status line and headers of a backend server's response.
 *
 * @param status HTTP status
 * @param statesNotRun whether the response states that a request has not run and will not run
 * @param signed whether the response carries a receipt, which only a run produces
 * @param attempt which attempt the response names
 */
public record ServerReply(int status, boolean statesNotRun, boolean signed, NamedAttempt attempt) {

  /** Attempt that a response names, compared with the one that was sent. */
  public enum NamedAttempt {
    /** The attempt that was sent. */
    SAME,
    /** Another attempt; the response answers a different request. */
    OTHER,
    /** None. */
    NONE
  }

  /**
   * Returns whether the server states that it has not run the request that was sent. The statement
   * that another request has not run says nothing about this one.
   *
   * @return whether the request has not run and will not run
   */
  public boolean notRun() {
    return statesNotRun && answersAttempt();
  }

  /**
   * Returns whether the response can be the answer to the request that was sent.
   *
   * @return whether it names the attempt that was sent, or none
   */
  public boolean answersAttempt() {
    return attempt != NamedAttempt.OTHER;
  }

  /**
   * Returns whether the response reports success.
   *
   * @return whether the status is 2xx
   */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  /**
   * Returns whether the response is an interim one (1xx). Such a response is no answer, and the
   * bytes after it cannot be attributed to a request.
   *
   * @return whether the status is below 200
   */
  public boolean isInterim() {
    return status < 200;
  }
}
