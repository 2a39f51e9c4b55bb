package org.cactusseam.model.control;

import java.util.Set;
import org.cactusseam.model.ShardId;

/**
 * Statement of a run that it has stopped granting permits for a shard. A leaving run names a
 * successor, which acts as the interim owner in place of the owner in the log until the log names
 * another owner. A run that lost the shard by a record sends the new owner a handover in which the
 * new owner acts for itself, so that it need not wait for the lease of its predecessor to expire.
 *
 * @param shard shard that is handed over
 * @param onBehalfOf owner according to the log, for which the successor acts
 * @param epoch epoch of the owner according to the log
 * @param from run that has stopped granting
 * @param to successor that may grant
 * @param released runs that have handed the shard over and never grant for it again; empty if the
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
   * @return true if the shard was lost by a record; false if the sender is leaving
   */
  public boolean followsRecord() {
    return onBehalfOf.equals(to);
  }
}
