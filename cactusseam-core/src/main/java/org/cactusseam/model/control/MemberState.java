package org.cactusseam.model.control;

/** Standing of a run in the membership view. */
public enum MemberState {
  /** Announced; owns nothing until it is activated. */
  JOINED,
  /** May own admission shards. */
  ACTIVE,
  /** Expelled as unreachable, but possibly alive and unaware of it. Owns nothing. */
  SUSPENDED
}
