package org.cactusseam.logic.shutdown;

/**
 * Requests that a node has not answered yet.
 *
 * @param waiting not sent to a backend server; they can be refused as "not run"
 * @param resumable streams that callers can resume at another node
 * @param unresumable sent to a backend server and not resumable, such as calls of plain services
 */
public record OpenRequests(int waiting, int resumable, int unresumable) {

  /** Nothing is open. */
  public static final OpenRequests NONE = new OpenRequests(0, 0, 0);

  int sum() {
    return waiting + resumable + unresumable;
  }
}
