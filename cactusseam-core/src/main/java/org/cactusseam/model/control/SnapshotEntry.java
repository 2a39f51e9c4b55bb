package org.cactusseam.model.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ShardId;

/** One entry of a snapshot of the control state. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = SnapshotEntry.Present.class, name = "present"),
  @JsonSubTypes.Type(value = SnapshotEntry.Tombstone.class, name = "tombstone"),
  @JsonSubTypes.Type(value = SnapshotEntry.Command.class, name = "command"),
  @JsonSubTypes.Type(value = SnapshotEntry.Run.class, name = "run"),
  @JsonSubTypes.Type(value = SnapshotEntry.EndedRun.class, name = "ended"),
  @JsonSubTypes.Type(value = SnapshotEntry.Owned.class, name = "owned"),
  @JsonSubTypes.Type(value = SnapshotEntry.Order.class, name = "order")
})
public sealed interface SnapshotEntry {

  /** Decision on a command. */
  enum Outcome {
    /** The command changed the state. */
    ACCEPTED,
    /** The object had another revision. */
    CONFLICT,
    /** The command was not allowed. */
    INVALID
  }

  /**
   * A configuration object.
   *
   * @param value object
   * @param revision offset of its last change
   * @param shard index of the shard of a backend server; empty for other kinds
   */
  record Present(ConfigurationObject value, long revision, Optional<Integer> shard)
      implements SnapshotEntry {}

  /**
   * A removed configuration object.
   *
   * @param key object
   * @param revision offset of the removal
   * @param removedAtMillis time of the removal, as the log states it
   * @param shard shard that a backend server had; empty for other kinds
   */
  record Tombstone(ObjectKey key, long revision, long removedAtMillis, Optional<ShardId> shard)
      implements SnapshotEntry {}

  /**
   * A remembered command.
   *
   * @param commandId identity of the command
   * @param offset offset of its record
   * @param recordedAtMillis time of the record, as the log states it
   * @param outcome decision
   * @param serverOrder whether it is an order to a backend server
   */
  record Command(
      String commandId, long offset, long recordedAtMillis, Outcome outcome, boolean serverOrder)
      implements SnapshotEntry {}

  /**
   * A member.
   *
   * @param member description of the run
   * @param joinedAt offset of its {@code Join}
   * @param standing standing
   */
  record Run(Member member, long joinedAt, MemberState standing) implements SnapshotEntry {}

  /**
   * The newest ended run of a node, which late copies of its records must not revive.
   *
   * @param node entry daemon
   * @param boot identity of the run
   * @param endedAtMillis time of the record that ended it, as the log states it
   */
  record EndedRun(NodeName node, String boot, long endedAtMillis) implements SnapshotEntry {}

  /**
   * The owner of a shard; empty while nobody may own it.
   *
   * @param shard shard
   * @param owner owner
   */
  record Owned(ShardId shard, Optional<ShardOwner> owner) implements SnapshotEntry {}

  /**
   * An order to a backend server.
   *
   * @param offset offset of the order
   * @param issued record that issued it
   * @param started last announcement that it is sent
   * @param outcome how it ended
   */
  record Order(
      long offset,
      OrderRecord.Issued issued,
      Optional<OrderRecord.Started> started,
      Optional<OrderOutcome> outcome)
      implements SnapshotEntry {}
}
