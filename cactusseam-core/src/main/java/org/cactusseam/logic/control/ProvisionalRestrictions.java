package org.cactusseam.logic.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.control.ControlRecord;

/**
 * Orders to take something out of service that apply before the log contains them, during an outage
 * of the log. Each is kept until the log contains the order or shows that the object changed after
 * the operator saw it.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class ProvisionalRestrictions {

  /** Bound on kept orders; a peer cannot make a node keep more. */
  static final int MAXIMUM_ORDERS = 10_000;

  private final Map<String, ControlRecord.Change> orders = new LinkedHashMap<>();

  /**
   * Keeps an order if it restricts something that the state shows as the operator saw it.
   *
   * @param order change that takes a failure domain or backend server out of service and changes
   *     nothing else
   * @param state state of this node
   * @return true if the order is in force on this node, by this restriction or by the log
   */
  public boolean add(ControlRecord.Change order, ControlState state) {
    if (state.recordedOutcome(order.commandId()).isPresent()) {
      return state.recordedOutcome(order.commandId()).equals(Optional.of(RecordOutcome.ACCEPTED));
    }
    boolean applies = isCurrent(order, state) && isRestriction(order, state.configuration());
    if (applies && orders.size() < MAXIMUM_ORDERS) {
      orders.put(order.commandId(), order);
    }
    return orders.containsKey(order.commandId());
  }

  private static boolean isRestriction(ControlRecord.Change order, Configuration configuration) {
    Optional<ConfigurationObject> known = configuration.find(order.key());
    return known.isPresent() && order.value().equals(restricted(known.get()));
  }

  private static Optional<ConfigurationObject> restricted(ConfigurationObject object) {
    return switch (object) {
      case FailureDomain domain -> Optional.of(domain.withState(ServiceState.OUT));
      case BackendServer server -> Optional.of(server.withState(ServiceState.OUT));
      default -> Optional.empty();
    };
  }

  private static boolean isCurrent(ControlRecord.Change order, ControlState state) {
    return state.expectedRevision(order.key()) == order.expectedRevision();
  }

  /**
   * Drops the orders that the log has decided. It must be called after each applied record and each
   * loaded snapshot.
   *
   * @param state state of this node
   */
  public void applied(ControlState state) {
    orders
        .values()
        .removeIf(
            order ->
                state.recordedOutcome(order.commandId()).isPresent() || !isCurrent(order, state));
  }

  /**
   * Returns the configuration with the kept orders applied.
   *
   * @param state state of this node
   * @return configuration by which this node admits work
   */
  public Configuration effective(ControlState state) {
    Configuration configuration = state.configuration();
    for (ControlRecord.Change order : orders.values()) {
      ObjectKey key = order.key();
      if (order.value().isPresent()) {
        configuration = configuration.with(order.value().get(), state.expectedRevision(key));
      }
    }
    return configuration;
  }

  /**
   * Returns the orders that the log does not contain yet. Any node may append them when the log is
   * available again; copies are rejected by the identity of the command.
   *
   * @return orders, oldest first
   */
  public List<ControlRecord.Change> pending() {
    return List.copyOf(orders.values());
  }
}
