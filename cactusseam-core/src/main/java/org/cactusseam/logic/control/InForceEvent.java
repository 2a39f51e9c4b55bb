package org.cactusseam.logic.control;

import java.util.Set;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ShardId;

/**
 * Progress of an operator's command after it was recorded. Commands are in force once no owner can
 * still admit work that contradicts them.
 */
public sealed interface InForceEvent {

  /**
   * Returns the identity of the command.
   *
   * @return identity that the operator's client chose
   */
  String commandId();

  /**
   * The command is in force: no node admits work that contradicts it.
   *
   * @param commandId identity of the command
   * @param offset log offset of its record
   */
  record InForce(String commandId, long offset) implements InForceEvent {}

  /**
   * The command is recorded, but not all owners of the affected shards have confirmed it, or
   * earlier permits have not expired.
   *
   * @param commandId identity of the command
   * @param offset offset of its record
   * @param missing entry daemons that own affected shards and have not confirmed
   * @param withoutOwner affected shards that no run may own at present
   */
  record Waiting(String commandId, long offset, Set<NodeName> missing, Set<ShardId> withoutOwner)
      implements InForceEvent {}
}
