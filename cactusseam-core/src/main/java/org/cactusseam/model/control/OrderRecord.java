package org.cactusseam.model.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;

/**
 * Records of the stream {@code control} about orders to backend servers, such as loading a model.
 */
@JsonSubTypes({
  @JsonSubTypes.Type(value = OrderRecord.Issued.class, name = "order"),
  @JsonSubTypes.Type(value = OrderRecord.Started.class, name = "order_started"),
  @JsonSubTypes.Type(value = OrderRecord.Ended.class, name = "order_ended")
})
public sealed interface OrderRecord extends ControlRecord {

  /**
   * An operator issues an order to a backend server. The offset of this record identifies the order
   * and is its fencing number.
   *
   * @param commandId identity of the operator's command; duplicates are rejected
   * @param server backend server that must execute the order
   * @param order ordered change
   * @param operator name of the operator's key, for auditing
   */
  record Issued(String commandId, BackendServerName server, ServerOrder order, String operator)
      implements OrderRecord {}

  /**
   * The owner of the server's shard is about to send an order. A later owner that reads this record
   * knows that the order may have been sent.
   *
   * @param order log offset of the order
   * @param by entry daemon that owns the shard
   * @param boot boot identity of the owner's run
   * @param attempt number of the attempt within the run
   */
  record Started(long order, NodeName by, String boot, long attempt) implements OrderRecord {}

  /**
   * An order has ended. Only the first such record of an order counts.
   *
   * @param order log offset of the order
   * @param outcome how the order ended
   */
  record Ended(long order, OrderOutcome outcome) implements OrderRecord {}
}
