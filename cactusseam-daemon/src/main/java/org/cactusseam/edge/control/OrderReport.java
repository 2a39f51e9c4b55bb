package org.cactusseam.edge.control;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.orders.OrderView;
import org.cactusseam.logic.query.Command;
import org.cactusseam.logic.query.ResultTable;
import org.cactusseam.model.control.ServerOrder;

/**
 * Translates operators' commands into orders to backend servers, and the recorded orders into
 * tables and messages for operators.
 */
final class OrderReport {

  private OrderReport() {}

  /** Returns the order that a command gives, or empty if the name in it is blank. */
  static Optional<ServerOrder> toServerOrder(Command.ServerOrder command) {
    return switch (command) {
      case Command.Load load -> newOrder(kindOf(load.artifact()), load.name());
      case Command.ChangeRole change -> newOrder(ServerOrder.Kind.CHANGE_ROLE, change.role());
    };
  }

  private static Optional<ServerOrder> newOrder(ServerOrder.Kind kind, String name) {
    return name.isBlank() ? Optional.empty() : Optional.of(new ServerOrder(kind, name));
  }

  private static ServerOrder.Kind kindOf(Command.Artifact artifact) {
    return switch (artifact) {
      case MODEL -> ServerOrder.Kind.LOAD_MODEL;
      case ADAPTER -> ServerOrder.Kind.LOAD_ADAPTER;
      case VERSION -> ServerOrder.Kind.LOAD_VERSION;
    };
  }

  static ResultTable table(OrderView orderView) {
    return new ResultTable(
        List.of("order", "command", "server", "kind", "name", "state", "by"),
        orderView.entries().stream().map(OrderReport::row).toList());
  }

  private static List<ResultTable.Cell> row(OrderView.Entry entry) {
    return ResultTable.row(
        entry.offset(),
        entry.commandId(),
        entry.server(),
        entry.order().kind().name().toLowerCase(Locale.ROOT),
        entry.order().name(),
        state(entry),
        entry.start().map(start -> start.by().value()).orElse(""));
  }

  /**
   * Describes the progress of the order that a command gave.
   *
   * @param state control state that accepted the command
   * @param commandId identity of the command
   * @return message for the operator; empty if the command is not an order to a backend server
   */
  static Optional<String> progress(ControlState state, String commandId) {
    Optional<OrderView.Entry> entry =
        state.orders().entries().stream()
            .filter(each -> each.commandId().equals(commandId))
            .findFirst();
    return entry
        .map(OrderReport::message)
        .or(
            () ->
                state
                    .offsetOf(commandId)
                    .filter(offset -> state.isServerOrder(commandId))
                    .map(offset -> "order " + offset + ": over and no longer kept"));
  }

  private static String message(OrderView.Entry entry) {
    return "order " + entry.offset() + " to " + entry.server() + ": " + state(entry);
  }

  private static String state(OrderView.Entry entry) {
    return entry
        .outcome()
        .map(outcome -> outcome.name().toLowerCase(Locale.ROOT))
        .orElse(entry.start().isPresent() ? "started" : "recorded");
  }
}
