package org.cactusseam.logic.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.logic.orders.OrderSimulation.Fault;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.OrderOutcome;
import org.cactusseam.model.control.OrderRecord;
import org.cactusseam.model.control.ServerOrder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Simulates two owners under all pairs of faults with fixed seeds. Guards against orders that are
 * executed twice or never, and against an excessive rate of reads from the weight store.
 */
class OrderExecutorTest {

  private static final int SEEDS = 15;
  private static final int ORDERS = 3;
  private static final BackendServerName SERVER = new BackendServerName("engine");

  @ParameterizedTest
  @EnumSource(Fault.class)
  void an_order_is_executed_once_and_ends_under_each_pair_of_faults(Fault first) {
    int effects = 0;
    for (Fault second : Fault.values()) {
      for (int seed = 0; seed < SEEDS; seed++) {
        for (boolean checksFencing : List.of(true, false)) {
          String name = first + " + " + second + ", seed " + seed + ", fencing " + checksFencing;
          OrderSimulation simulation =
              new OrderSimulation(EnumSet.of(first, second), checksFencing, seed);
          for (int order = 0; order < ORDERS; order++) {
            simulation.issue(order);
            simulation.run(Duration.ofSeconds(8));
          }
          simulation.clearFaults();
          simulation.run(Duration.ofMinutes(2));
          assertThat(name, simulation.violations, is(empty()));
          assertThat(name + simulation.orderView, simulation.areAllOrdersEnded(), is(true));
          assertThat(name, simulation.areDoneOrdersExecuted(), is(true));
          assertRateIsLimited(name, simulation.sends);
          effects += simulation.effects.size();
        }
      }
    }
    assertThat(effects, is(greaterThan(SEEDS * ORDERS)));
  }

  /**
   * The delay between a token and the send that uses it can be as long as the validity of the
   * token, so three intervals can be up to 6 s shorter.
   */
  private static void assertRateIsLimited(String name, List<Instant> sends) {
    for (int index = 3; index < sends.size(); index++) {
      Duration window = Duration.between(sends.get(index - 3), sends.get(index));
      Duration minimum = OrderSimulation.INTERVAL.multipliedBy(3).minusSeconds(6);
      assertThat(name + sends, window.compareTo(minimum) >= 0, is(true));
    }
  }

  private final PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
  private final NodeName node = new NodeName("vm0");
  private final OrderExecutor executor = new OrderExecutor(node, "boot", clock);
  private final ServerOrder load = new ServerOrder(ServerOrder.Kind.LOAD_MODEL, "large");
  private OrderView orderView =
      OrderView.EMPTY.apply(7, new OrderRecord.Issued("c", SERVER, load, "operator")).orElseThrow();

  private void apply(OrderRecord orderRecord) {
    orderView = orderView.apply(8, orderRecord).orElseThrow();
    executor.ordersChanged(orderView);
  }

  private void reachSend() {
    executor.ordersChanged(orderView);
    executor.addServer(SERVER, false);
    executor.stateRead(7, clock.instant(), "run", OrderState.ABSENT);
    executor.tokenGranted(7);
    apply(new OrderRecord.Started(7, node, "boot", 1));
  }

  @Test
  void the_state_is_read_before_anything_else() {
    executor.ordersChanged(orderView);
    executor.addServer(SERVER, false);
    assertThat(executor.drain(), contains(new OrderAction.ReadState(SERVER, 7, load)));

    executor.stateRead(7, clock.instant(), "run", OrderState.DONE);

    assertThat(
        executor.drain(),
        contains(new OrderAction.Append(new OrderRecord.Ended(7, OrderOutcome.DONE))));
  }

  @ParameterizedTest(name = "paused {0} ms, lease {1}: {2}")
  @CsvSource({"0, true, true", "999, true, true", "1000, true, false", "0, false, false"})
  void a_paused_owner_does_not_send(long paused, boolean lease, boolean expected) {
    reachSend();
    clock.advance(Duration.ofMillis(paused));

    assertThat(executor.tryStart(7, lease), is(expected));
    assertThat(executor.tryStart(7, lease), is(false));
  }

  @ParameterizedTest(name = "fencing {0}, queried {1} ms after the loss: sent again {2}")
  @CsvSource({"false, 100, false", "false, 4999, false", "false, 5000, true", "true, 100, true"})
  void an_order_is_sent_again_only_when_an_earlier_send_cannot_arrive(
      boolean fencing, long millis, boolean expected) {
    reachSend();
    executor.addServer(SERVER, fencing);
    executor.tryStart(7, true);
    executor.responseLost(7);
    executor.drain();
    clock.advance(Duration.ofMillis(millis));
    Instant askedAt = clock.instant();
    clock.advance(Duration.ofSeconds(10));

    executor.stateRead(7, askedAt, "run", OrderState.ABSENT);

    boolean requested =
        executor.drain().stream().anyMatch(OrderAction.RequestToken.class::isInstance);
    assertThat(requested, is(expected));
  }

  @ParameterizedTest(name = "token after {0} ms: announced {1}")
  @CsvSource({"4999, true", "5000, false"})
  void a_late_token_does_not_lead_to_a_send(long millis, boolean expected) {
    executor.ordersChanged(orderView);
    executor.addServer(SERVER, false);
    executor.stateRead(7, clock.instant(), "run", OrderState.ABSENT);
    executor.drain();
    clock.advance(Duration.ofMillis(millis));

    executor.tokenGranted(7);

    boolean announced = executor.drain().stream().anyMatch(OrderAction.Append.class::isInstance);
    assertThat(announced, is(expected));
  }

  private boolean requestsToken() {
    return executor.drain().stream().anyMatch(OrderAction.RequestToken.class::isInstance);
  }

  /**
   * A state that is older than the response can name an earlier server process than the one that
   * responded.
   */
  @ParameterizedTest(name = "state of {0} from {1} ms after the response: sent again {2}")
  @CsvSource({
    "run, 0, false",
    "run, 60000, false",
    "next run, -1, false",
    "next run, 4999, false",
    "next run, 5000, true"
  })
  void an_accepted_order_is_sent_again_only_after_a_restart_of_the_run_that_accepted_it(
      String incarnation, long millis, boolean expected) {
    reachSend();
    executor.tryStart(7, true);
    executor.responseReceived(7, OrderResponse.ACCEPTED, Optional.of("run"));
    executor.drain();

    executor.stateRead(7, clock.instant().plusMillis(millis), incarnation, OrderState.ABSENT);

    assertThat(requestsToken(), is(expected));
  }

  @ParameterizedTest(name = "state of {0}: sent again {1}")
  @CsvSource({"run, false", "next run, true"})
  void an_order_in_progress_is_waited_for_unless_the_server_restarts(
      String incarnation, boolean expected) {
    reachSend();
    executor.tryStart(7, true);
    executor.responseLost(7);
    Instant later = clock.instant().plusSeconds(60);
    executor.stateRead(7, clock.instant(), "run", OrderState.IN_PROGRESS);
    executor.drain();

    executor.stateRead(7, later, incarnation, OrderState.ABSENT);

    assertThat(requestsToken(), is(expected));
  }

  @ParameterizedTest(name = "fencing {0}, possibly sent {1}: sent {2}")
  @CsvSource({"false, true, false", "true, true, true", "false, false, true"})
  void an_order_is_not_sent_again_to_a_server_that_may_execute_it_without_reporting_it(
      boolean fencing, boolean started, boolean expected) {
    if (started) {
      apply(new OrderRecord.Started(7, node, "earlier boot", 1));
    }
    executor.ordersChanged(orderView);
    executor.addServer(SERVER, fencing);

    executor.stateRead(7, clock.instant().plusSeconds(60), "run", OrderState.UNLISTED);

    assertThat(requestsToken(), is(expected));
  }

  @Test
  void an_order_without_result_ends_as_failed() {
    executor.ordersChanged(orderView);
    executor.addServer(SERVER, false);
    clock.advance(Duration.ofMinutes(30));
    executor.drain();

    executor.tick();

    assertThat(
        executor.drain(),
        contains(new OrderAction.Append(new OrderRecord.Ended(7, OrderOutcome.FAILED))));
  }

  @Test
  void a_new_holder_of_the_bucket_grants_nothing_during_its_first_interval() {
    StoreRateLimiter limiter = new StoreRateLimiter(clock, Duration.ofSeconds(3));
    limiter.request(1);
    limiter.setHeld(true);
    limiter.request(2);
    limiter.request(3);
    assertThat(limiter.grant(), is(empty()));

    clock.advance(Duration.ofSeconds(3));
    assertThat(limiter.grant(), contains(2L));
    assertThat(limiter.grant(), is(empty()));
    clock.advance(Duration.ofHours(1));
    assertThat(limiter.grant(), contains(3L));
    limiter.request(4);
    assertThat(limiter.grant(), is(empty()));
  }

  /** A removed server reports no state, so without this rule the order would stay open forever. */
  @ParameterizedTest(name = "started {0}")
  @CsvSource({"false, SERVER_REMOVED", "true, SERVER_REMOVED_AFTER_START"})
  void an_order_to_a_removed_server_ends_and_is_not_sent(boolean started, OrderOutcome outcome) {
    if (started) {
      reachSend();
    } else {
      executor.ordersChanged(orderView);
      executor.addServer(SERVER, false);
    }
    executor.drain();

    orderView = orderView.withServerRemoved(SERVER);
    executor.ordersChanged(orderView);

    assertThat(orderView.find(7).orElseThrow().outcome(), is(Optional.of(outcome)));
    assertThat(executor.tryStart(7, true), is(false));
    executor.stateRead(7, clock.instant().plusSeconds(60), "run", OrderState.ABSENT);
    assertThat(requestsToken(), is(false));
  }

  @ParameterizedTest(name = "response lost {0}, ownership ended {1}")
  @CsvSource({"false, false", "true, false", "false, true", "true, true"})
  void a_running_order_to_a_removed_server_still_shows_its_result(
      boolean lost, boolean ownershipEnded) {
    reachSend();
    executor.tryStart(7, true);
    orderView = orderView.withServerRemoved(SERVER);
    executor.ordersChanged(orderView);
    if (ownershipEnded) {
      executor.removeServer(SERVER);
    }
    if (lost) {
      executor.responseLost(7);
    } else {
      executor.responseReceived(7, OrderResponse.ACCEPTED, Optional.of("run"));
    }
    executor.drain();

    executor.stateRead(7, clock.instant(), "run", OrderState.DONE);

    OrderRecord done = new OrderRecord.Ended(7, OrderOutcome.DONE);
    assertThat(executor.drain(), contains(new OrderAction.Append(done)));
    apply(done);
    assertThat(orderView.find(7).orElseThrow().outcome(), is(Optional.of(OrderOutcome.DONE)));
    assertThat(executor.orders(), is(empty()));
  }

  @Test
  void an_order_to_a_later_server_of_the_same_name_does_not_wait_for_the_former_one() {
    reachSend();
    executor.tryStart(7, true);
    executor.drain();
    orderView = orderView.withServerRemoved(SERVER);
    orderView =
        orderView.apply(9, new OrderRecord.Issued("d", SERVER, load, "operator")).orElseThrow();

    executor.ordersChanged(orderView);

    assertThat(executor.drain(), contains(new OrderAction.ReadState(SERVER, 9, load)));
    assertThat(executor.orders(), is(Set.of(7L, 9L)));
    clock.advance(Duration.ofMinutes(30));
    executor.tick();
    assertThat(executor.orders(), is(Set.of(9L)));
  }
}
