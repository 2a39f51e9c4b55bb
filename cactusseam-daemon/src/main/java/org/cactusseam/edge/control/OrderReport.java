package org.cactusseam.edge.control;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.orders.OrderView;
import org.cactusseam.logic.query.Command;
import org.cactusseam.logic.query.ResultTable;
import org.cactusseam.model.control.ServerOrder;

/** Translates between operators' commands and orders to backend servers. */
final class OrderReport {

  private OrderReport() {}

  /** Returns the order of a command, or empty if its name is blank. */
  static Optional<ServerOrder> orderOf(Command.ServerOrder command) {
    return switch (command) {
      case Command.Load load -> order(kindOf(load.artifact()), load.name());
      case Command.ChangeRole change -> order(ServerOrder.Kind.CHANGE_ROLE, change.role());
    };
  }

  private static Optional<ServerOrder> order(ServerOrder.Kind kind, String name) {
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
   * Describes how the order of a command goes.
   *
   * @param state control state that accepted the command
   * @param commandId identity of the command
   * @return message, or empty if the command is not an order to a backend server
   */
  static Optional<String> progress(ControlState state, String commandId) {
    Optional<OrderView.Entry> kept =
        state.orders().entries().stream()
            .filter(entry -> entry.commandId().equals(commandId))
            .findFirst();
    return kept.map(OrderReport::message)
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
