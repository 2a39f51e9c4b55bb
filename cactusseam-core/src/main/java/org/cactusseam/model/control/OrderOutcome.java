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
  FAILED
}
