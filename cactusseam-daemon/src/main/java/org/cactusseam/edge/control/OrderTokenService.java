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
 * Requests tokens for orders from the holder of the token bucket that limits the load on the weight
 * store, and is the holder itself if the membership determines so. Confined to the control thread.
 */
final class OrderTokenService {

  /** Key of the rendezvous hash by which the holder is chosen. */
  private static final String RENDEZVOUS_KEY = "weight-store";

  private final Clock clock;
  private final NodeName self;
  private final MembershipSettings membershipSettings;
  private final PermitRouter.Sender sender;
  private final StoreRateLimiter limiter;
  private final Map<Long, NodeName> requesters = new HashMap<>();
  private Optional<NodeName> holder = Optional.empty();
  private Instant holderSince = Instant.MAX;
  private Instant lastLogReadAt = Instant.MIN;

  /**
   * Creates the service; it does not hold the bucket at first.
   *
   * @param clock clock for leases and the rate
   * @param self name of this VM
   * @param membershipSettings durations of leases and takeovers
   * @param interval time between two tokens while this daemon holds the bucket
   * @param sender sends a message to a VM, which may be this one
   */
  OrderTokenService(
      Clock clock,
      NodeName self,
      MembershipSettings membershipSettings,
      Duration interval,
      PermitRouter.Sender sender) {
    this.clock = clock;
    this.self = self;
    this.membershipSettings = membershipSettings;
    this.sender = sender;
    this.limiter = new StoreRateLimiter(clock, interval);
  }

  /**
   * Determines the holder after the membership may have changed.
   *
   * @param membership current members
   */
  void onMembershipApplied(Membership membership) {
    Optional<NodeName> chosen = holderOf(membership);
    if (!chosen.equals(holder)) {
      holder = chosen;
      holderSince = clock.instant();
      limiter.setHeld(false);
      requesters.clear();
    }
  }

  /**
   * Chooses the holder among the members in the region of the weight store. No setting names that
   * region, so the first region by name is taken for it.
   */
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
        .filter(node -> OwnerSelection.rank(RENDEZVOUS_KEY, node, nodes) == 0)
        .findFirst();
  }

  /**
   * Records that the log was read up to its end.
   *
   * @param sentAt when the read was sent
   */
  void onLogRead(Instant sentAt) {
    lastLogReadAt = sentAt;
  }

  /**
   * Returns whether this daemon may grant tokens. A holder that cannot read the log may have been
   * replaced. A read of the log serves as its lease, because no order is sent while the log is
   * unavailable. A new holder waits until the lease of its predecessor has expired.
   */
  private boolean isHolder() {
    Instant now = clock.instant();
    return holder.equals(Optional.of(self))
        && now.isBefore(lastLogReadAt.plus(membershipSettings.lease()))
        && !now.isBefore(holderSince.plus(membershipSettings.takeoverWait()));
  }

  /**
   * Requests a token from the holder. The order is not sent until a token arrives.
   *
   * @param order offset of the order
   */
  void requestToken(long order) {
    holder.ifPresent(node -> sender.send(node, new PeerMessage.AskOrderToken(order)));
  }

  /**
   * Queues the request of a daemon for a token, if this one holds the bucket.
   *
   * @param from VM of the daemon that requests the token
   * @param order offset of the order
   */
  void onTokenRequest(NodeName from, long order) {
    if (isHolder()) {
      limiter.setHeld(true);
      limiter.request(order);
      requesters.put(order, from);
    }
  }

  /**
   * Sends the tokens that are due, or drops the queued requests if this daemon is not the holder.
   */
  void tick() {
    boolean held = isHolder();
    limiter.setHeld(held);
    if (!held) {
      requesters.clear();
    }
    for (long order : limiter.grant()) {
      NodeName requester = requesters.remove(order);
      if (requester != null) {
        sender.send(requester, new PeerMessage.OrderToken(order));
      }
    }
  }
}
