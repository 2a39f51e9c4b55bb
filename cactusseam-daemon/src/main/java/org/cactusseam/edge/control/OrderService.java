package org.cactusseam.edge.control;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Clock;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cactusseam.edge.backend.OrderClient;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.membership.ShardMap;
import org.cactusseam.logic.orders.OrderAction;
import org.cactusseam.logic.orders.OrderExecutor;
import org.cactusseam.logic.orders.OrderView;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.OrderRecord;

/**
 * Carries out the orders to the engines of the shards that this daemon owns. Confined to the
 * control thread.
 */
final class OrderService {

  private static final StructuredLog LOG = StructuredLog.of(OrderService.class);

  private final Clock clock;
  private final OrderClient client;
  private final Predicate<ShardId> mayGrant;
  private final Consumer<OrderRecord> appender;
  private final OrderTokenService tokens;
  private final OrderExecutor executor;
  private final Map<BackendServerName, Target> targets = new HashMap<>();

  /** Servers of the orders in hand; a followed order needs it when the server is removed. */
  private final Map<Long, BackendServer> receivers = new HashMap<>();

  private OrderView orderView = OrderView.EMPTY;

  private record Target(ShardId shard, BackendServer server) {}

  OrderService(
      Clock clock,
      Member self,
      OrderTokenService tokens,
      OrderClient client,
      Predicate<ShardId> mayGrant,
      Consumer<OrderRecord> appender) {
    this.clock = clock;
    this.tokens = tokens;
    this.client = client;
    this.mayGrant = mayGrant;
    this.appender = appender;
    this.executor = new OrderExecutor(self.node(), self.boot(), clock);
  }

  /**
   * Notes the control state after it changed.
   *
   * @param state control state
   */
  void applied(ControlState state) {
    tokens.applied(state.membership());
    if (state.orders() != orderView) {
      orderView = state.orders();
      executor.ordersChanged(orderView);
      perform();
    }
  }

  /**
   * Lets time pass.
   *
   * @param owned shards that this daemon owns or is about to own
   * @param map servers of all shards
   */
  void tick(Set<ShardId> owned, ShardMap map) {
    followOwnership(owned, map);
    tokens.tick();
    executor.tick();
    if (!receivers.isEmpty()) {
      receivers.keySet().retainAll(executor.orders());
    }
    perform();
  }

  private void followOwnership(Set<ShardId> owned, ShardMap map) {
    Map<BackendServerName, Target> current = new HashMap<>();
    for (ShardId shard : owned) {
      if (mayGrant.test(shard)) {
        map.shards().getOrDefault(shard, List.of()).stream()
            .filter(server -> server.kind() == BackendKind.ENGINE)
            .forEach(server -> current.put(server.name(), new Target(shard, server)));
      }
    }
    for (BackendServerName name : Set.copyOf(targets.keySet())) {
      if (!current.containsKey(name)) {
        targets.remove(name);
        executor.removeServer(name);
      }
    }
    current.forEach(
        (name, target) -> {
          if (!target.equals(targets.put(name, target))) {
            executor.addServer(name, target.server().checksFencing());
          }
        });
  }

  /**
   * Notes a token.
   *
   * @param order offset of the order
   */
  void tokenGranted(long order) {
    executor.tokenGranted(order);
    perform();
  }

  private void perform() {
    for (OrderAction action : executor.drain()) {
      switch (action) {
        case OrderAction.ReadState read -> readState(read);
        case OrderAction.RequestToken ask -> tokens.ask(ask.order());
        case OrderAction.Append append -> appender.accept(append.orderRecord());
        case OrderAction.Send send -> send(send);
      }
    }
  }

  private void readState(OrderAction.ReadState read) {
    Optional<BackendServer> receiver = receiver(read);
    receiver.ifPresent(server -> readState(read, server));
  }

  private Optional<BackendServer> receiver(OrderAction.ReadState read) {
    Target target = targets.get(read.server());
    if (target != null && !executor.awaitsResultOnly(read.order())) {
      receivers.put(read.order(), target.server());
    }
    return Optional.ofNullable(receivers.get(read.order()));
  }

  private void readState(OrderAction.ReadState read, BackendServer server) {
    Instant askedAt = clock.instant();
    client
        .read(server, read.serverOrder(), read.order())
        .onSuccess(
            reading -> {
              Instant asOf = askedAt.minus(reading.age());
              executor.stateRead(read.order(), asOf, reading.incarnation(), reading.state());
              perform();
            });
  }

  private void send(OrderAction.Send send) {
    Target target = targets.get(send.server());
    if (target == null) {
      return;
    }
    client
        .send(
            target.server(),
            send.serverOrder(),
            send.order(),
            () -> executor.tryStart(send.order(), mayGrant.test(target.shard())))
        .onSuccess(answer -> answer.ifPresent(found -> answered(send, found)))
        .onFailure(cause -> lost(send, cause));
  }

  private void answered(OrderAction.Send send, OrderClient.Reply reply) {
    LOG.info(
        "order_answered",
        field("order", send.order()),
        field("server", send.server()),
        field("answer", reply.answer()));
    executor.responseReceived(send.order(), reply.answer(), reply.incarnation());
    perform();
  }

  /** The executor ignores this for an order that was not written. */
  private void lost(OrderAction.Send send, Throwable cause) {
    LOG.warn(
        "order_answer_lost",
        field("order", send.order()),
        field("server", send.server()),
        field("cause", cause.getMessage()));
    executor.responseLost(send.order());
    perform();
  }
}
