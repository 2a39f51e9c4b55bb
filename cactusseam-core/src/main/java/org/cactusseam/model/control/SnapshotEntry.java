package org.cactusseam.model.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ShardId;

/** An entry of a snapshot of the control state. */
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

  /** Outcome of a command as it is stored. */
  enum Outcome {
    /** The command changed the state. */
    ACCEPTED,
    /** The object had another revision than the command expected. */
    CONFLICT,
    /** The command referred to something that did not exist, or was not allowed. */
    INVALID
  }

  /**
   * A configuration object that exists.
   *
   * @param value configuration object
   * @param revision log offset of its last change
   * @param shard index of the shard of a backend server; empty for other objects
   */
  record Present(ConfigurationObject value, long revision, Optional<Integer> shard)
      implements SnapshotEntry {}

  /**
   * A removed configuration object.
   *
   * @param key identity of the object
   * @param revision log offset of the removal
   * @param removedAtMillis time of the removal on the clock of the log, in milliseconds since the
   *     epoch
   * @param shard shard that a backend server had; empty for other objects
   */
  record Tombstone(ObjectKey key, long revision, long removedAtMillis, Optional<ShardId> shard)
      implements SnapshotEntry {}

  /**
   * A command that is remembered, so that repeats are rejected.
   *
   * @param commandId identity of the command
   * @param offset log offset of its record
   * @param recordedAtMillis append time of the record on the clock of the log, in milliseconds
   *     since the epoch
   * @param outcome outcome of the command
   * @param serverOrder whether it is an order to a backend server
   */
  record Command(
      String commandId, long offset, long recordedAtMillis, Outcome outcome, boolean serverOrder)
      implements SnapshotEntry {}

  /**
   * A run that is a member.
   *
   * @param member description of the run
   * @param joinedAt log offset of its {@code Join}
   * @param standing state of the run
   */
  record Run(Member member, long joinedAt, MemberState standing) implements SnapshotEntry {}

  /**
   * The newest ended run of an entry daemon. It is kept so that delayed duplicates of its records
   * do not make it a member again.
   *
   * @param node entry daemon
   * @param boot boot identity of the run
   * @param endedAtMillis append time of the record that ended it on the clock of the log, in
   *     milliseconds since the epoch
   */
  record EndedRun(NodeName node, String boot, long endedAtMillis) implements SnapshotEntry {}

  /**
   * The owner of a shard.
   *
   * @param shard admission shard
   * @param owner owner and epoch; empty while no run may own the shard
   */
  record Owned(ShardId shard, Optional<ShardOwner> owner) implements SnapshotEntry {}

  /**
   * An order to a backend server.
   *
   * @param offset log offset of the order, which identifies it
   * @param issued record that issued the order
   * @param started last record that the order was about to be sent; empty if there is none
   * @param outcome how the order ended; empty while it is open
   */
  record Order(
      long offset,
      OrderRecord.Issued issued,
      Optional<OrderRecord.Started> started,
      Optional<OrderOutcome> outcome)
      implements SnapshotEntry {}
}
