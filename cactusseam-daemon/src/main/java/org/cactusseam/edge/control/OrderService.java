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
 * Executes orders to the engines of the shards that this daemon owns, such as loading a model.
 * Confined to the control thread.
 */
final class OrderService {

  private static final StructuredLog LOG = StructuredLog.of(OrderService.class);

  private final Clock clock;
  private final OrderClient client;
  private final Predicate<ShardId> mayGrant;
  private final Consumer<OrderRecord> recordAppender;
  private final OrderTokenService tokens;
  private final OrderExecutor executor;
  private final Map<BackendServerName, Target> targets = new HashMap<>();

  /**
   * Servers by the offsets of the orders that are being executed. Needed to read the result of an
   * order that was sent before its server was removed.
   */
  private final Map<Long, BackendServer> serversByOrder = new HashMap<>();

  private OrderView orderView = OrderView.EMPTY;

  private record Target(ShardId shard, BackendServer server) {}

  OrderService(
      Clock clock,
      Member self,
      OrderTokenService tokens,
      OrderClient client,
      Predicate<ShardId> mayGrant,
      Consumer<OrderRecord> recordAppender) {
    this.clock = clock;
    this.tokens = tokens;
    this.client = client;
    this.mayGrant = mayGrant;
    this.recordAppender = recordAppender;
    this.executor = new OrderExecutor(self.node(), self.boot(), clock);
  }

  /**
   * Passes a new control state on after one or more records were applied.
   *
   * @param state control state
   */
  void onStateApplied(ControlState state) {
    tokens.onMembershipApplied(state.membership());
    if (state.orders() != orderView) {
      orderView = state.orders();
      executor.ordersChanged(orderView);
      performActions();
    }
  }

  /**
   * Performs the work that is due: updates the servers that may be sent to and retries.
   *
   * @param owned shards that this daemon owns or is taking over
   * @param shardMap servers of all shards
   */
  void tick(Set<ShardId> owned, ShardMap shardMap) {
    updateTargets(owned, shardMap);
    tokens.tick();
    executor.tick();
    if (!serversByOrder.isEmpty()) {
      serversByOrder.keySet().retainAll(executor.orders());
    }
    performActions();
  }

  private void updateTargets(Set<ShardId> owned, ShardMap shardMap) {
    Map<BackendServerName, Target> current = new HashMap<>();
    for (ShardId shard : owned) {
      if (mayGrant.test(shard)) {
        shardMap.shards().getOrDefault(shard, List.of()).stream()
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
   * Continues with an order for which the token bucket granted a token.
   *
   * @param order offset of the order
   */
  void onTokenGranted(long order) {
    executor.tokenGranted(order);
    performActions();
  }

  private void performActions() {
    for (OrderAction action : executor.drain()) {
      switch (action) {
        case OrderAction.ReadState read -> readState(read);
        case OrderAction.RequestToken ask -> tokens.requestToken(ask.order());
        case OrderAction.Append append -> recordAppender.accept(append.orderRecord());
        case OrderAction.Send send -> send(send);
      }
    }
  }

  private void readState(OrderAction.ReadState read) {
    Optional<BackendServer> recipient = serverFor(read);
    recipient.ifPresent(server -> readState(read, server));
  }

  private Optional<BackendServer> serverFor(OrderAction.ReadState read) {
    Target target = targets.get(read.server());
    if (target != null && !executor.awaitsResultOnly(read.order())) {
      serversByOrder.put(read.order(), target.server());
    }
    return Optional.ofNullable(serversByOrder.get(read.order()));
  }

  private void readState(OrderAction.ReadState read, BackendServer server) {
    Instant askedAt = clock.instant();
    client
        .read(server, read.serverOrder(), read.order())
        .onSuccess(
            reading -> {
              Instant asOf = askedAt.minus(reading.age());
              executor.stateRead(read.order(), asOf, reading.incarnation(), reading.state());
              performActions();
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
        .onSuccess(answer -> answer.ifPresent(response -> onResponse(send, response)))
        .onFailure(cause -> onResponseLost(send, cause));
  }

  private void onResponse(OrderAction.Send send, OrderClient.Reply reply) {
    LOG.info(
        "order_answered",
        field("order", send.order()),
        field("server", send.server()),
        field("answer", reply.answer()));
    executor.responseReceived(send.order(), reply.answer(), reply.incarnation());
    performActions();
  }

  /**
   * Reports that no response to an order arrived. The executor ignores this for an order that was
   * not written to the connection.
   */
  private void onResponseLost(OrderAction.Send send, Throwable cause) {
    LOG.warn(
        "order_answer_lost",
        field("order", send.order()),
        field("server", send.server()),
        field("cause", cause.getMessage()));
    executor.responseLost(send.order());
    performActions();
  }
}
