package org.cactusseam.model.control;

/** How an order to a backend server ended. */
public enum OrderOutcome {
  /** The state of the server shows what was ordered. */
  DONE,
  /** The server refused the order. */
  REFUSED,
  /** The server has seen a later fencing number, so the order must not take effect any more. */
  SUPERSEDED,
  /** The state of the server did not show what was ordered in time. */
  FAILED,
  /** The server was removed before the order was sent; it did not run. */
  SERVER_REMOVED,
  /**
   * The server was removed after the order may have been sent. A result that is still seen replaces
   * this outcome.
   */
  SERVER_REMOVED_AFTER_START
}
