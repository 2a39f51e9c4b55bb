package org.cactusseam.logic.control;

/**
 * What the state machine decided about a record of the control log. Every node reaches the same.
 */
public enum RecordOutcome {
  /** The record changed the state. */
  ACCEPTED,
  /** The record repeats one that was applied before. */
  DUPLICATE,
  /** The object has another revision than the record expects. */
  CONFLICT,
  /** The record names something that does not exist, or is not allowed in this state. */
  INVALID
}
