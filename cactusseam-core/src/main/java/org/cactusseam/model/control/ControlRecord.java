package org.cactusseam.model.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ObjectKey;

/** A record of the stream {@code control} of the platform's log. */
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
   * @param commandId identity of the operator's command; repeats are rejected
   * @param key object
   * @param expectedRevision revision that the operator saw, or {@link #ABSENT_REVISION}
   * @param value new value; empty removes the object
   * @param operator name of the operator's key, for the record
   */
  record Change(
      String commandId,
      ObjectKey key,
      long expectedRevision,
      Optional<ConfigurationObject> value,
      String operator)
      implements ControlRecord {}

  /**
   * An entry daemon announces its run. It does not own shards before its {@link Activate}.
   *
   * @param member description of the run
   */
  record Join(Member member) implements ControlRecord {}

  /**
   * Makes a joined run eligible to own shards.
   *
   * @param node entry daemon
   * @param boot identity of its run
   */
  record Activate(NodeName node, String boot) implements ControlRecord {}

  /**
   * A run ends in order.
   *
   * @param node entry daemon
   * @param boot identity of its run
   */
  record Leave(NodeName node, String boot) implements ControlRecord {}

  /**
   * Another entry daemon removes a run from the view.
   *
   * @param node entry daemon that is removed
   * @param boot identity of its run
   * @param by entry daemon that removes it
   * @param reason what is known about the run
   */
  record Expel(NodeName node, String boot, NodeName by, ExpelReason reason)
      implements ControlRecord {}

  /**
   * One part of the whole state at an offset. Nodes that write the snapshot of the same basis write
   * the same parts.
   *
   * @param basis offset of the first record that the snapshot does not contain
   * @param logTimeMillis time of the newest record before the basis, as the log states it
   * @param part position of this part, from 0
   * @param parts number of parts
   * @param entries entries of this part
   */
  record Snapshot(long basis, long logTimeMillis, int part, int parts, List<SnapshotEntry> entries)
      implements ControlRecord {

    /** Copies the list and checks the position. */
    public Snapshot {
      if (part < 0 || part >= parts) {
        throw new IllegalArgumentException("part " + part + " of " + parts);
      }
      entries = List.copyOf(entries);
    }
  }

  /**
   * Stands for a record that no node can read. It has no effect, but it takes its offset, so that
   * the records after it are applied.
   */
  record Unreadable() implements ControlRecord {}
}
