package org.cactusseam.logic.orders;

import java.time.Instant;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.control.OrderRecord;
import org.cactusseam.model.control.ServerOrder;

/** What the daemon has to do for an {@link OrderExecutor}. */
public sealed interface OrderAction {

  /**
   * Read the state of a backend server and report it with the time of the question.
   *
   * @param server backend server
   * @param order offset of the order
   * @param what what was ordered
   */
  record ReadState(BackendServerName server, long order, ServerOrder what) implements OrderAction {}

  /**
   * Ask the holder of the weight store's token bucket for a token.
   *
   * @param order offset of the order
   */
  record AskToken(long order) implements OrderAction {}

  /**
   * Append a record to the stream {@code control}. It is repeated until the log shows it.
   *
   * @param orderRecord record
   */
  record Append(OrderRecord orderRecord) implements OrderAction {}

  /**
   * Send an order. The daemon calls {@link OrderExecutor#tryStart} directly before it writes the
   * order to the backend server and sends it only if the answer is true.
   *
   * @param server backend server
   * @param order offset of the order, which is its fencing number
   * @param what what was ordered
   * @param until end of the right to send
   */
  record Send(BackendServerName server, long order, ServerOrder what, Instant until)
      implements OrderAction {}
}
