package org.cactusseam.logic.shutdown;

/**
 * Numbers of requests that a daemon has not completed yet.
 *
 * @param waiting requests that were not sent to a backend server and can be refused as "not run"
 * @param resumable streams that callers can resume at another daemon
 * @param unresumable requests that were sent to a backend server and cannot be resumed, such as
 *     those to plain services
 */
public record OpenRequests(int waiting, int resumable, int unresumable) {

  /** No open requests. */
  public static final OpenRequests NONE = new OpenRequests(0, 0, 0);

  int total() {
    return waiting + resumable + unresumable;
  }
}
