package org.cactusseam.model.gateway;

/**
 * The head of a backend server's answer, decoded.
 *
 * @param status HTTP status
 * @param notRun whether the server states that it has not run the request and will not
 * @param signed whether the answer carries the receipt of a run
 * @param answersAttempt whether the answer names the attempt that was sent
 */
public record ServerReply(int status, boolean notRun, boolean signed, boolean answersAttempt) {

  /**
   * Returns whether the answer reports success.
   *
   * @return whether the status is 2xx
   */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
