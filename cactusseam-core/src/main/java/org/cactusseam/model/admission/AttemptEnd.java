package org.cactusseam.model.admission;

/** How an attempt ended. */
public enum AttemptEnd {
  /** The answer was delivered whole. */
  COMPLETED,
  /** The permit was not used; nothing was sent. */
  NOT_SENT,
  /** The backend server refused the attempt and did not run it. */
  REFUSED,
  /** The caller left or the attempt was cancelled. */
  CANCELLED,
  /** The connection to the backend server broke. */
  BROKEN
}
