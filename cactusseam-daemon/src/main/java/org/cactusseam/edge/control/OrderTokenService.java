package org.cactusseam.edge.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.logic.control.Membership;
import org.cactusseam.logic.membership.MembershipSettings;
import org.cactusseam.logic.membership.OwnerSelection;
import org.cactusseam.logic.orders.StoreRateLimiter;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.message.PeerMessage;

/**
 * Tokens for orders: asks the holder of the weight store's token bucket, and is the holder if the
 * membership says so. Confined to the control thread.
 */
final class OrderTokenService {

  /** Rendezvous subject by which the holder is chosen. */
  private static final String SUBJECT = "weight-store";

  private final Clock clock;
  private final NodeName self;
  private final MembershipSettings times;
  private final PermitRouter.Sender sender;
  private final StoreRateLimiter limiter;
  private final Map<Long, NodeName> askers = new HashMap<>();
  private Optional<NodeName> holder = Optional.empty();
  private Instant holderSince = Instant.MAX;
  private Instant logReadAt = Instant.MIN;

  /**
   * Creates a daemon's part; it holds no bucket.
   *
   * @param clock source of time
   * @param self this node
   * @param times times of leases
   * @param interval time between two orders while this node holds the bucket
   * @param sender sends a message to a node, also this one
   */
  OrderTokenService(
      Clock clock,
      NodeName self,
      MembershipSettings times,
      Duration interval,
      PermitRouter.Sender sender) {
    this.clock = clock;
    this.self = self;
    this.times = times;
    this.sender = sender;
    this.limiter = new StoreRateLimiter(clock, interval);
  }

  /**
   * Notes the members after the control state changed.
   *
   * @param membership members
   */
  void applied(Membership membership) {
    Optional<NodeName> chosen = holderOf(membership);
    if (!chosen.equals(holder)) {
      holder = chosen;
      holderSince = clock.instant();
      limiter.setHeld(false);
      askers.clear();
    }
  }

  /** The region whose name comes first stands for the region of the weight store. */
  private static Optional<NodeName> holderOf(Membership membership) {
    List<Member> active = membership.active();
    return active.stream()
        .map(Member::region)
        .min(Comparator.naturalOrder())
        .map(
            region -> OwnerSelection.candidates(region, active).stream().map(Member::node).toList())
        .flatMap(OrderTokenService::first);
  }

  private static Optional<NodeName> first(List<NodeName> nodes) {
    return nodes.stream()
        .filter(node -> OwnerSelection.rank(SUBJECT, node, nodes) == 0)
        .findFirst();
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
   * A holder that cannot read the log may have been replaced. Reading it is enough as a lease,
   * because no order is sent while the log is out. A new holder waits until the lease of its
   * predecessor is over.
   */
  private boolean mayHold() {
    Instant now = clock.instant();
    return holder.equals(Optional.of(self))
        && now.isBefore(logReadAt.plus(times.lease()))
        && !now.isBefore(holderSince.plus(times.takeoverWait()));
  }

  /**
   * Asks the holder for a token; without an answer the order is not sent.
   *
   * @param order offset of the order
   */
  void ask(long order) {
    holder.ifPresent(node -> sender.send(node, new PeerMessage.AskOrderToken(order)));
  }

  /**
   * Queues the question of a daemon, if this one holds the bucket.
   *
   * @param from daemon that asks
   * @param order offset of the order
   */
  void asked(NodeName from, long order) {
    if (mayHold()) {
      limiter.setHeld(true);
      limiter.request(order);
      askers.put(order, from);
    }
  }

  /** Sends the tokens that are due. */
  void tick() {
    boolean held = mayHold();
    limiter.setHeld(held);
    if (!held) {
      askers.clear();
    }
    for (long order : limiter.grant()) {
      NodeName asker = askers.remove(order);
      if (asker != null) {
        sender.send(asker, new PeerMessage.OrderToken(order));
      }
    }
  }
}
