package org.cactusseam.logic.orders;

/** Response of a backend server to an order. */
public enum OrderResponse {
  /** The server executes the order, or has already received the same fencing number. */
  ACCEPTED,
  /** The server refuses the order. */
  REFUSED,
  /** The server has already received a higher fencing number. */
  STALE_NUMBER
}
