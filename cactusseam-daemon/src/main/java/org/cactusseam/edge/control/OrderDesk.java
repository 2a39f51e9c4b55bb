package org.cactusseam.edge.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cactusseam.edge.backend.OrderClient;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.control.Membership;
import org.cactusseam.logic.membership.MembershipSettings;
import org.cactusseam.logic.membership.Ownership;
import org.cactusseam.logic.membership.ShardMap;
import org.cactusseam.logic.orders.OrderAction;
import org.cactusseam.logic.orders.OrderAnswer;
import org.cactusseam.logic.orders.OrderBook;
import org.cactusseam.logic.orders.OrderExecutor;
import org.cactusseam.logic.orders.StoreRateLimiter;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.OrderRecord;
import org.cactusseam.model.message.PeerMessage;
import org.jboss.logging.Logger;

/**
 * Carries out the orders to the engines of the shards that this daemon owns, and holds the token
 * bucket of the weight store if this daemon is chosen for it. Confined to the control thread.
 */
final class OrderDesk {

  private static final Logger LOG = Logger.getLogger(OrderDesk.class);

  /** Rendezvous subject by which the holder of the token bucket is chosen. */
  private static final String BUCKET = "weight-store";

  /** Time between two orders. The weight store states no rate, so this is a cautious one. */
  private static final Duration STORE_INTERVAL = Duration.ofSeconds(3);

  private final Clock clock;
  private final Member self;
  private final MembershipSettings times;
  private final OrderClient client;
  private final Predicate<ShardId> mayGrant;
  private final Consumer<OrderRecord> appender;
  private final PermitRouter.Sender sender;
  private final OrderExecutor executor;
  private final StoreRateLimiter limiter;
  private final Map<BackendServerName, Target> targets = new HashMap<>();
  private final Map<Long, NodeName> askers = new HashMap<>();
  private OrderBook book = OrderBook.EMPTY;
  private Optional<NodeName> holder = Optional.empty();
  private Instant holderSince = Instant.MAX;
  private Instant logReadAt = Instant.MIN;

  private record Target(ShardId shard, BackendServer server) {}

  OrderDesk(
      Clock clock,
      Member self,
      MembershipSettings times,
      OrderClient client,
      Predicate<ShardId> mayGrant,
      Consumer<OrderRecord> appender,
      PermitRouter.Sender sender) {
    this.clock = clock;
    this.self = self;
    this.times = times;
    this.client = client;
    this.mayGrant = mayGrant;
    this.appender = appender;
    this.sender = sender;
    this.executor = new OrderExecutor(self.node(), self.boot(), clock);
    this.limiter = new StoreRateLimiter(clock, STORE_INTERVAL);
  }

  /**
   * Notes the control state after it changed.
   *
   * @param state control state
   */
  void applied(ControlState state) {
    Optional<NodeName> chosen = holderOf(state.membership());
    if (!chosen.equals(holder)) {
      holder = chosen;
      holderSince = clock.instant();
      limiter.hold(false);
      askers.clear();
    }
    if (state.orders() != book) {
      book = state.orders();
      executor.ordersChanged(book);
      perform();
    }
  }

  /** The region whose name comes first stands for the region of the weight store. */
  private static Optional<NodeName> holderOf(Membership membership) {
    List<Member> active = membership.active();
    return active.stream()
        .map(Member::region)
        .min(java.util.Comparator.naturalOrder())
        .map(region -> Ownership.candidates(region, active).stream().map(Member::node).toList())
        .flatMap(
            nodes ->
                nodes.stream()
                    .filter(node -> Ownership.rank(BUCKET, node, nodes) == 0)
                    .findFirst());
  }

  /**
   * Notes that the log was read up to its end.
   *
   * @param sentAt when the read was sent
   */
  void logRead(Instant sentAt) {
    logReadAt = sentAt;
  }

  /**
   * Lets time pass.
   *
   * @param owned shards that this daemon owns or is about to own
   * @param map servers of all shards
   */
  void tick(Set<ShardId> owned, ShardMap map) {
    followOwnership(owned, map);
    limiter.hold(mayHold());
    for (long order : limiter.grant()) {
      NodeName asker = askers.remove(order);
      if (asker != null) {
        sender.send(asker, new PeerMessage.OrderToken(order));
      }
    }
    executor.tick();
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
        executor.disown(name);
      }
    }
    current.forEach(
        (name, target) -> {
          if (!target.equals(targets.put(name, target))) {
            executor.own(name, target.server().checksFencing());
          }
        });
  }

  /**
   * A holder that cannot read the log may have been replaced. Reading it is enough as a lease,
   * because no order is sent while the log is out. A new holder waits until the lease of its
   * predecessor is over.
   */
  private boolean mayHold() {
    Instant now = clock.instant();
    return holder.equals(Optional.of(self.node()))
        && now.isBefore(logReadAt.plus(times.lease()))
        && !now.isBefore(holderSince.plus(times.takeoverWait()));
  }

  /**
   * Queues a question for a token. The limiter ignores it if this daemon does not hold the bucket.
   *
   * @param from daemon that asks
   * @param order offset of the order
   */
  void tokenAsked(NodeName from, long order) {
    limiter.hold(mayHold());
    limiter.ask(order);
    if (mayHold()) {
      askers.put(order, from);
    }
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
        case OrderAction.AskToken ask ->
            holder.ifPresent(node -> sender.send(node, new PeerMessage.AskOrderToken(ask.order())));
        case OrderAction.Append append -> appender.accept(append.orderRecord());
        case OrderAction.Send send -> send(send);
      }
    }
  }

  private void readState(OrderAction.ReadState read) {
    Target target = targets.get(read.server());
    if (target == null) {
      return;
    }
    Instant askedAt = clock.instant();
    client
        .read(target.server(), read.what())
        .onSuccess(
            reading -> {
              executor.stateRead(read.order(), askedAt, reading.incarnation(), reading.state());
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
            send.what(),
            send.order(),
            () -> executor.begin(send.order(), mayGrant.test(target.shard())))
        .onSuccess(answer -> answer.ifPresent(found -> answered(send, found)))
        .onFailure(cause -> lost(send, cause));
  }

  private void answered(OrderAction.Send send, OrderAnswer answer) {
    LOG.infof(
        "event=order_answered order=%d server=%s answer=%s", send.order(), send.server(), answer);
    executor.answered(send.order(), answer);
    perform();
  }

  /** The executor ignores this for an order that was not written. */
  private void lost(OrderAction.Send send, Throwable cause) {
    LOG.warnf(
        "event=order_answer_lost order=%d server=%s cause=\"%s\"",
        send.order(), send.server(), cause.getMessage());
    executor.answerLost(send.order());
    perform();
  }
}
