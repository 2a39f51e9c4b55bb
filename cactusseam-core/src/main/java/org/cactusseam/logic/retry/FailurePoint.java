package org.cactusseam.logic.retry;

/** How far an attempt was when it failed. */
public enum FailurePoint {
  /** No byte of the request was written: no permit, no connection, or an expired permit. */
  NOT_SENT,
  /** The backend server answered that it did not run the request. */
  REFUSED,
  /** The request was written, in part or whole, and no response head came. */
  SENT,
  /** The response head came and no token or body byte was delivered to the caller. */
  ACCEPTED,
  /** A token or a body byte was delivered to the caller. */
  DELIVERED
}
