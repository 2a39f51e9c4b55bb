package org.cactusseam.model.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
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
  @JsonSubTypes.Type(value = OrderRecord.class)
})
public sealed interface ControlRecord
    permits ControlRecord.Change,
        ControlRecord.Join,
        ControlRecord.Activate,
        ControlRecord.Leave,
        ControlRecord.Expel,
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
   * Another entry daemon declares a run to be unreachable.
   *
   * @param node entry daemon that is removed
   * @param boot identity of its run
   * @param by entry daemon that removes it
   */
  record Expel(NodeName node, String boot, NodeName by) implements ControlRecord {}
}
