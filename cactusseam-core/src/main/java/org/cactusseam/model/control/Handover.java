package org.cactusseam.model.control;

import java.util.Set;
import org.cactusseam.model.ShardId;

/**
 * A run states that it has stopped granting for a shard. A leaving run names a successor, which
 * stands in for the owner that the log names until the log names another one. A run that lost the
 * shard by a record sends the new owner a handover on the new owner's own behalf, so that it need
 * not wait.
 *
 * @param shard shard
 * @param onBehalfOf owner by the log, for which the successor stands in
 * @param epoch epoch of that owner
 * @param from sender
 * @param to successor
 * @param released runs that have owned the shard in this way and never grant again; empty if the
 *     sender lost the shard by a record
 */
public record Handover(
    ShardId shard, RunId onBehalfOf, long epoch, RunId from, RunId to, Set<RunId> released) {

  /** Copies the set. */
  public Handover {
    released = Set.copyOf(released);
  }

  /**
   * Tells whether the sender lost the shard by a record that it has applied.
   *
   * @return false if the sender is leaving
   */
  public boolean followsRecord() {
    return onBehalfOf.equals(to);
  }
}
