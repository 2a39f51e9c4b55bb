package org.cactusseam.model.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ObjectKey;

/**
 * A record of the stream {@code control} of the platform's log, from which every entry daemon
 * derives configuration and membership.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlRecord.Change.class, name = "change"),
  @JsonSubTypes.Type(value = ControlRecord.Join.class, name = "join"),
  @JsonSubTypes.Type(value = ControlRecord.Activate.class, name = "activate"),
  @JsonSubTypes.Type(value = ControlRecord.Leave.class, name = "leave"),
  @JsonSubTypes.Type(value = ControlRecord.Expel.class, name = "expel"),
  @JsonSubTypes.Type(value = ControlRecord.Snapshot.class, name = "snapshot"),
  @JsonSubTypes.Type(value = ControlRecord.Unreadable.class, name = "unreadable"),
  @JsonSubTypes.Type(value = OrderRecord.class)
})
public sealed interface ControlRecord
    permits ControlRecord.Change,
        ControlRecord.Join,
        ControlRecord.Activate,
        ControlRecord.Leave,
        ControlRecord.Expel,
        ControlRecord.Snapshot,
        ControlRecord.Unreadable,
        OrderRecord {

  /** Revision of an object that does not exist. */
  long ABSENT_REVISION = -1;

  /**
   * Creates, changes or removes a configuration object.
   *
   * @param commandId identity of the operator's command; duplicates are rejected
   * @param key identity of the object
   * @param expectedRevision revision that the operator read, or {@link #ABSENT_REVISION}
   * @param value new value; empty removes the object
   * @param operator name of the operator's key, for auditing
   */
  record Change(
      String commandId,
      ObjectKey key,
      long expectedRevision,
      Optional<ConfigurationObject> value,
      String operator)
      implements ControlRecord {}

  /**
   * An entry daemon announces its run. Unless it is the first in its region, it owns no shards
   * before its {@link Activate}.
   *
   * @param member description of the run
   */
  record Join(Member member) implements ControlRecord {}

  /**
   * Makes a joined run eligible to own shards.
   *
   * @param node entry daemon to activate
   * @param boot boot identity of its run
   */
  record Activate(NodeName node, String boot) implements ControlRecord {}

  /**
   * A run leaves after an orderly shutdown.
   *
   * @param node entry daemon that leaves
   * @param boot boot identity of its run
   */
  record Leave(NodeName node, String boot) implements ControlRecord {}

  /**
   * An entry daemon expels a run of another one that is unreachable or has ended.
   *
   * @param node entry daemon that is expelled
   * @param boot boot identity of its run
   * @param by entry daemon that expels it
   * @param reason whether the run is unreachable or known to have ended
   */
  record Expel(NodeName node, String boot, NodeName by, ExpelReason reason)
      implements ControlRecord {}

  /**
   * One part of a snapshot of the whole control state. Nodes that write the snapshot at the same
   * basis write the same parts.
   *
   * @param basis offset of the first record that the snapshot does not contain
   * @param logTimeMillis latest append time of the records before the basis, on the clock of the
   *     log, in milliseconds since the epoch
   * @param part index of this part, from 0
   * @param parts number of parts of the snapshot
   * @param entries entries of this part
   */
  record Snapshot(long basis, long logTimeMillis, int part, int parts, List<SnapshotEntry> entries)
      implements ControlRecord {

    /** Copies the list and rejects a part index out of range. */
    public Snapshot {
      if (part < 0 || part >= parts) {
        throw new IllegalArgumentException(
            "snapshot part index out of range: " + part + " of " + parts);
      }
      entries = List.copyOf(entries);
    }
  }

  /**
   * Placeholder for a record that cannot be decoded. It has no effect but occupies its offset, so
   * that the records after it are applied.
   */
  record Unreadable() implements ControlRecord {}
}
