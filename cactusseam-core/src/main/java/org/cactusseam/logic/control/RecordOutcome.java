package org.cactusseam.logic.control;

/**
 * Outcome of applying a record of the control log. It is deterministic: every node reaches the
 * same.
 */
public enum RecordOutcome {
  /** The record changed the state. */
  ACCEPTED,
  /** The record repeats one that was applied before; it has no effect. */
  DUPLICATE,
  /** The object has another revision than the record expects; the change has no effect. */
  CONFLICT,
  /** The record refers to something that does not exist, or is not allowed in the current state. */
  INVALID
}
