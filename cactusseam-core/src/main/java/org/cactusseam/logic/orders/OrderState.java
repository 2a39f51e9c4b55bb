package org.cactusseam.logic.orders;

/** What the state of a backend server says of an order. */
public enum OrderState {
  /** Neither the result of the order nor work on it is visible. */
  ABSENT,
  /** The result is not visible, and the server does not list the orders that it works on. */
  UNLISTED,
  /** The server works on it. */
  IN_PROGRESS,
  /** The server shows the result. */
  DONE
}
