package org.cactusseam.model.control;

/** Why the sender of an {@code Expel} record expels a run. */
public enum ExpelReason {
  /**
   * The run does not answer pings. It may still be running without access to the log and therefore
   * unaware of the record, so it is suspended: it owns no shards, but members that join its region
   * later wait for its acknowledgement until its end is proven.
   */
  UNREACHABLE,
  /**
   * The run has ended: its address refuses connections or reports a later boot identity, or its VM
   * has been absent from the VM list for the greatest lag of the list.
   */
  GONE
}
