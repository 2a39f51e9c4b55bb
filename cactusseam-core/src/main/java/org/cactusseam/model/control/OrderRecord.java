package org.cactusseam.model.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;

/** Records of the stream {@code control} on orders to backend servers. */
@JsonSubTypes({
  @JsonSubTypes.Type(value = OrderRecord.Issued.class, name = "order"),
  @JsonSubTypes.Type(value = OrderRecord.Started.class, name = "order_started"),
  @JsonSubTypes.Type(value = OrderRecord.Ended.class, name = "order_ended")
})
public sealed interface OrderRecord extends ControlRecord {

  /**
   * An operator orders something. The offset of this record identifies the order and is its fencing
   * number.
   *
   * @param commandId identity of the operator's command; repeats are rejected
   * @param server backend server
   * @param order what the server shall do
   * @param operator name of the operator's key, for the record
   */
  record Issued(String commandId, BackendServerName server, ServerOrder order, String operator)
      implements OrderRecord {}

  /**
   * The owner of the server's shard is about to send an order. A later owner that reads this knows
   * that the order may have been sent.
   *
   * @param order offset of the order
   * @param by owner
   * @param boot identity of the owner's run
   * @param attempt number of the send within the run
   */
  record Started(long order, NodeName by, String boot, long attempt) implements OrderRecord {}

  /**
   * An order is over. The first such record of an order counts.
   *
   * @param order offset of the order
   * @param outcome how it ended
   */
  record Ended(long order, OrderOutcome outcome) implements OrderRecord {}
}
