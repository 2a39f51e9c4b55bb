package org.cactusseam.logic.control;

import java.util.Set;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ShardId;

/** Progress of an operator's command that was recorded. */
public sealed interface InForceEvent {

  /**
   * Returns the identity of the command.
   *
   * @return identity
   */
  String commandId();

  /**
   * The command is in force: no new work contradicts it anywhere.
   *
   * @param commandId identity of the command
   * @param offset offset of its record
   */
  record InForce(String commandId, long offset) implements InForceEvent {}

  /**
   * The command is recorded, but some owners have not confirmed it.
   *
   * @param commandId identity of the command
   * @param offset offset of its record
   * @param missing owners that have not confirmed
   * @param withoutOwner affected shards that nobody may own at present
   */
  record Waiting(String commandId, long offset, Set<NodeName> missing, Set<ShardId> withoutOwner)
      implements InForceEvent {}
}
