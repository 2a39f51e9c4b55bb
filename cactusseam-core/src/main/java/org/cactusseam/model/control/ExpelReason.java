package org.cactusseam.model.control;

/** What the sender of an {@code Expel} knows about the run that it removes. */
public enum ExpelReason {
  /**
   * The run does not answer pings. It may be alive without access to the log and unaware of the
   * record, so it is suspended: it owns nothing, but later joins of its region wait for its
   * acknowledgement until its end is proven.
   */
  UNREACHABLE,
  /**
   * The run has ended: its address refuses connections or answers with a later boot identity, or
   * the VM list has not shown its VM for the lag bound.
   */
  GONE
}
