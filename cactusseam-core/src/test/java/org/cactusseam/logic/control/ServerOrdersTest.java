package org.cactusseam.logic.control;

import static org.cactusseam.logic.control.ControlFixtures.domain;
import static org.cactusseam.logic.control.ControlFixtures.put;
import static org.cactusseam.logic.control.ControlFixtures.remove;
import static org.cactusseam.logic.control.ControlFixtures.server;
import static org.cactusseam.logic.control.ControlFixtures.snapshot;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.cactusseam.logic.orders.OrderView;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.OrderOutcome;
import org.cactusseam.model.control.OrderRecord;
import org.cactusseam.model.control.ServerOrder;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against orders to backend servers that are issued twice by a repeated command, stay open
 * forever after the removal of their server, or are no longer recognised as orders.
 */
class ServerOrdersTest {

  private static final BackendServer SERVER = server("s", "pool", "east-1", BackendKind.ENGINE);
  private static final ServerOrder LOAD = new ServerOrder(ServerOrder.Kind.LOAD_MODEL, "large");

  private final ControlState state = new ControlState(Duration.ofDays(1));

  @BeforeEach
  void declare_the_server() {
    state.apply(0, put("domain", -1, domain("east-1", "east")));
    state.apply(1, put("server", -1, SERVER));
  }

  private static OrderRecord issued(String commandId) {
    return new OrderRecord.Issued(commandId, SERVER.name(), LOAD, "operator");
  }

  private RecordOutcome removeServer(long offset) {
    return state.apply(offset, remove("removal", 1, SERVER.key()));
  }

  private Optional<OrderOutcome> outcome(long order) {
    return state.orders().find(order).orElseThrow().outcome();
  }

  @Test
  void the_control_log_carries_orders_and_rejects_repeats() {
    ControlRecord issued = issued("c");
    assertThat(ControlFixtures.decoded(issued), is(issued));

    assertThat(state.apply(7, issued), is(RecordOutcome.ACCEPTED));
    assertThat(state.apply(8, issued), is(RecordOutcome.DUPLICATE));
    assertThat(
        state.apply(9, new OrderRecord.Ended(7, OrderOutcome.DONE)), is(RecordOutcome.ACCEPTED));
    assertThat(
        state.apply(10, new OrderRecord.Ended(7, OrderOutcome.FAILED)), is(RecordOutcome.INVALID));
    assertThat(outcome(7), is(Optional.of(OrderOutcome.DONE)));
    assertThat(state.orders().next(SERVER.name()).isPresent(), is(false));
  }

  @Test
  void the_removal_of_a_server_ends_its_orders() {
    state.apply(2, issued("started"));
    state.apply(3, issued("waiting"));
    OrderRecord started = new OrderRecord.Started(2, new NodeName("vm0"), "boot", 1);
    state.apply(4, started);

    assertThat(removeServer(5), is(RecordOutcome.ACCEPTED));

    assertThat(outcome(2), is(Optional.of(OrderOutcome.SERVER_REMOVED_AFTER_START)));
    assertThat(outcome(3), is(Optional.of(OrderOutcome.SERVER_REMOVED)));
    assertThat(state.apply(6, started), is(RecordOutcome.INVALID));
    assertThat(
        state.apply(7, new OrderRecord.Ended(3, OrderOutcome.DONE)), is(RecordOutcome.INVALID));
    assertThat(
        state.apply(8, new OrderRecord.Ended(2, OrderOutcome.DONE)), is(RecordOutcome.ACCEPTED));
    assertThat(
        state.apply(9, new OrderRecord.Ended(2, OrderOutcome.FAILED)), is(RecordOutcome.INVALID));
  }

  @Test
  void an_order_recorded_after_the_removal_of_its_server_is_rejected() {
    removeServer(2);

    assertThat(state.apply(3, issued("late")), is(RecordOutcome.INVALID));
    assertThat(state.orders(), is(OrderView.EMPTY));
  }

  @Test
  void a_command_stays_an_order_when_the_order_is_no_longer_kept() {
    long offset = 2;
    for (int number = 0; number <= OrderView.MAXIMUM_ENTRIES; number++) {
      state.apply(offset, issued("c" + number));
      state.apply(offset + 1, new OrderRecord.Ended(offset, OrderOutcome.DONE));
      offset += 2;
    }
    ControlState restored = new ControlState(Duration.ofDays(1));
    restored.load(snapshot(state));

    assertThat(restored.orders().find(2).isPresent(), is(false));
    assertThat(restored.isServerOrder("c0"), is(true));
    assertThat(restored.isServerOrder("server"), is(false));
    assertThat(restored.isServerOrder("unknown"), is(false));
  }
}
