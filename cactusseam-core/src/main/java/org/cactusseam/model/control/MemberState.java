package org.cactusseam.model.control;

/** State of a run in the membership view. */
public enum MemberState {
  /** Announced; owns no shards until it is activated. */
  JOINED,
  /** May own admission shards. */
  ACTIVE,
  /** Expelled as unreachable, but possibly still running and unaware of it. Owns no shards. */
  SUSPENDED
}
