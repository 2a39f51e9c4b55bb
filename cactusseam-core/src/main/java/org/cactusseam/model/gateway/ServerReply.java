package org.cactusseam.model.gateway;

import java.util.Optional;

/**
 * The head of a backend server's answer, decoded.
 *
 * @param status HTTP status
 * @param notRun whether the server states that it has not run the request and will not
 * @param signed whether the answer carries the receipt of a run
 * @param answersAttempt whether the answer names the attempt that was sent
 * @param load load at the time of the answer
 */
public record ServerReply(
    int status, boolean notRun, boolean signed, boolean answersAttempt, Optional<Load> load) {

  /**
   * Load of a server.
   *
   * @param running running requests
   * @param waiting waiting requests
   * @param slots requests that it runs at the same time
   */
  public record Load(int running, int waiting, int slots) {}

  /**
   * Returns whether the answer reports success.
   *
   * @return whether the status is 2xx
   */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
