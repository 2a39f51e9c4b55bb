package org.cactusseam.model.admission;

/** Outcome of an attempt. */
public enum AttemptEnd {
  /** The complete answer was delivered. */
  COMPLETED,
  /** The permit was not used, so nothing was sent to the backend server. */
  NOT_SENT,
  /** The backend server refused the attempt and did not run it. */
  REFUSED,
  /** The caller disconnected, or the attempt was cancelled. */
  CANCELLED,
  /** The connection to the backend server broke. */
  BROKEN
}
