package org.cactusseam.logic.orders;

/** State of an order according to the state report of its backend server. */
public enum OrderState {
  /** The report shows neither the result of the order nor that it is in progress. */
  ABSENT,
  /** The report does not show the result, and the server does not report orders in progress. */
  UNLISTED,
  /** The server is executing the order. */
  IN_PROGRESS,
  /** The report shows the result of the order. */
  DONE
}
