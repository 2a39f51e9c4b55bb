package org.cactusseam.model.control;

/** How an order to a backend server ended. */
public enum OrderOutcome {
  /** The state reported by the server shows the ordered change. */
  DONE,
  /** The server refused the order. */
  REFUSED,
  /** The server has received a higher fencing number, so the order must no longer take effect. */
  SUPERSEDED,
  /** The state reported by the server did not show the ordered change in time. */
  FAILED,
  /** The server was removed before the order was sent, so the order was not executed. */
  SERVER_REMOVED,
  /**
   * The server was removed after the order may have been sent. A result that is still observed
   * replaces this outcome.
   */
  SERVER_REMOVED_AFTER_START
}
