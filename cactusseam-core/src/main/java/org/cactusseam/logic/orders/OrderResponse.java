package org.cactusseam.logic.orders;

/** Answer of a backend server to an order. */
public enum OrderResponse {
  /** The server works on it, or has seen the same number before. */
  ACCEPTED,
  /** The server refuses it. */
  REFUSED,
  /** The server has seen a later fencing number. */
  STALE_NUMBER
}
