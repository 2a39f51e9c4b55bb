package org.cactusseam.logic.orders;

import java.time.Instant;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.control.OrderRecord;
import org.cactusseam.model.control.ServerOrder;

/** An action that an {@link OrderExecutor} requests from the daemon. */
public sealed interface OrderAction {

  /**
   * Query the state of a backend server with regard to an order, and report it with the time at
   * which the query was sent.
   *
   * @param server backend server to query
   * @param order log offset of the order
   * @param serverOrder requested change
   */
  record ReadState(BackendServerName server, long order, ServerOrder serverOrder)
      implements OrderAction {}

  /**
   * Request a token from the daemon that holds the token bucket of the weight store.
   *
   * @param order log offset of the order that needs the token
   */
  record RequestToken(long order) implements OrderAction {}

  /**
   * Append a record to the stream {@code control}. The action is repeated until the record is read
   * back from the log.
   *
   * @param orderRecord record to append
   */
  record Append(OrderRecord orderRecord) implements OrderAction {}

  /**
   * Send an order to a backend server. The daemon calls {@link OrderExecutor#tryStart} immediately
   * before it writes the order, and sends it only if that call returns true.
   *
   * @param server backend server that receives the order
   * @param order log offset of the order, which is also its fencing number
   * @param serverOrder requested change
   * @param until time at which the permission to send expires
   */
  record Send(BackendServerName server, long order, ServerOrder serverOrder, Instant until)
      implements OrderAction {}
}
