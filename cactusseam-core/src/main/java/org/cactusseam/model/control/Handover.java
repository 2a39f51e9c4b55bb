package org.cactusseam.model.control;

import java.util.Set;
import org.cactusseam.model.ShardId;

/**
 * A leaving run states that it has stopped granting for a shard and names its successor. The
 * successor stands in for the owner that the log names until the log names another one.
 *
 * @param shard shard
 * @param onBehalfOf owner by the log, for which the successor stands in
 * @param from sender, which never grants again
 * @param to successor
 * @param released all runs that have owned the shard in this way and never grant again
 */
public record Handover(ShardId shard, RunId onBehalfOf, RunId from, RunId to, Set<RunId> released) {

  /** Copies the set. */
  public Handover {
    released = Set.copyOf(released);
  }
}
