package org.cactusseam.logic.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusseam.logic.control.Membership;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.PeerStatus;
import org.cactusseam.model.control.RunId;

/**
 * What a node knows about the other runs from pings, connections and the VM list: what they have
 * read, since when they are silent, and whether their end is proven.
 */
final class PeerTable {

  /** A ping that has not been answered. */
  private record SentPing(RunId to, Instant sentAt) {}

  /** An answer that counts only once this node has applied what the peer had applied. */
  private record Answer(Instant sentAt, long nextOffset, Optional<Instant> logReadAt) {}

  private static final class Peer {
    private final Instant knownSince;
    private Optional<Instant> pingedAt = Optional.empty();
    private Instant watchedSince;
    private Optional<Instant> vouchedAt = Optional.empty();
    private Optional<Answer> pending = Optional.empty();
    private Optional<Instant> missingSince = Optional.empty();
    private Optional<Instant> endedAt = Optional.empty();
    private boolean endProven;
    private long acknowledged;
    private boolean leaving;

    private Peer(Instant now) {
      knownSince = now;
      watchedSince = now;
    }
  }

  private final MembershipSettings settings;
  private final Map<RunId, Peer> peers = new HashMap<>();
  private final Map<Long, SentPing> pings = new HashMap<>();
  private Optional<Instant> listReadAt = Optional.empty();
  private Optional<Instant> relayedReadAt = Optional.empty();
  private long sequence;

  PeerTable(MembershipSettings settings) {
    this.settings = settings;
  }

  void membershipChanged(Membership membership, Instant now) {
    Set<RunId> runs =
        membership.entries().stream().map(Membership.Entry::run).collect(Collectors.toSet());
    peers.keySet().retainAll(runs);
    runs.forEach(run -> peers.computeIfAbsent(run, key -> new Peer(now)));
  }

  long pingSent(RunId to, Instant now) {
    Peer peer = peers.get(to);
    if (peer != null) {
      boolean resumed = !isWatched(peer, now);
      peer.watchedSince = resumed ? now : peer.watchedSince;
      peer.pingedAt = Optional.of(now);
    }
    sequence++;
    pings.put(sequence, new SentPing(to, now));
    return sequence;
  }

  /**
   * Silence means something only while pings are sent: not before the first one, for members that
   * are no longer pinged, or after this process itself was paused.
   */
  private boolean isWatched(Peer peer, Instant now) {
    Instant limit = now.minus(settings.pingInterval().multipliedBy(2));
    return peer.pingedAt.map(at -> !at.isBefore(limit)).orElse(false);
  }

  boolean isPingDue(RunId run, Instant now) {
    Peer peer = peers.get(run);
    return peer != null
        && peer.pingedAt.map(at -> !at.plus(settings.pingInterval()).isAfter(now)).orElse(true);
  }

  /** Notes an answer; returns true if the peer has read more of the log than this node. */
  boolean pongReceived(long number, PeerStatus status, long ownNextOffset, Instant now) {
    SentPing ping = pings.remove(number);
    if (ping == null) {
      return false;
    }
    onBootIdSeen(status.run(), now);
    Peer peer = peers.get(status.run());
    if (peer == null || !status.run().equals(ping.to)) {
      return false;
    }
    peer.watchedSince = now;
    peer.acknowledged = Math.max(peer.acknowledged, status.nextOffset());
    peer.leaving |= status.leaving();
    Optional<Instant> logReadAt =
        status.logAgeMillis().isPresent()
            ? Optional.of(ping.sentAt.minusMillis(status.logAgeMillis().getAsLong()))
            : Optional.empty();
    Answer answer = new Answer(ping.sentAt, status.nextOffset(), logReadAt);
    if (answer.nextOffset <= ownNextOffset) {
      count(peer, answer);
      return false;
    }
    peer.pending = Optional.of(answer);
    return true;
  }

  void caughtUp(long ownNextOffset) {
    for (Peer peer : peers.values()) {
      if (peer.pending.isPresent() && peer.pending.get().nextOffset <= ownNextOffset) {
        count(peer, peer.pending.get());
        peer.pending = Optional.empty();
      }
    }
  }

  private void count(Peer peer, Answer answer) {
    peer.vouchedAt = later(peer.vouchedAt, Optional.of(answer.sentAt));
    relayedReadAt = later(relayedReadAt, answer.logReadAt);
  }

  static Optional<Instant> later(Optional<Instant> left, Optional<Instant> right) {
    if (left.isPresent() && right.isPresent()) {
      return left.get().isBefore(right.get()) ? right : left;
    }
    return left.or(() -> right);
  }

  /** Time of the newest read of the log that a peer relayed and this node has caught up with. */
  Optional<Instant> relayedReadAt() {
    return relayedReadAt;
  }

  /** A later run of the same node proves the end of the earlier one. */
  void onBootIdSeen(RunId seen, Instant now) {
    for (Map.Entry<RunId, Peer> entry : peers.entrySet()) {
      RunId known = entry.getKey();
      if (known.node().equals(seen.node()) && known.boot().compareTo(seen.boot()) < 0) {
        prove(entry.getValue(), now);
      }
    }
  }

  /** A refusal counts only for runs whose record was known before the attempt was made. */
  void connectionRefused(NodeName node, Instant attemptedAt, Instant now) {
    for (Map.Entry<RunId, Peer> entry : peers.entrySet()) {
      if (entry.getKey().node().equals(node) && entry.getValue().knownSince.isBefore(attemptedAt)) {
        prove(entry.getValue(), now);
      }
    }
  }

  void listRead(Set<NodeName> shown, Instant asOf, Instant now) {
    if (listReadAt.map(at -> !at.isBefore(asOf)).orElse(false)) {
      return;
    }
    listReadAt = Optional.of(asOf);
    for (Map.Entry<RunId, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      if (shown.contains(entry.getKey().node())) {
        peer.missingSince = Optional.empty();
      } else if (peer.missingSince.isEmpty() && !asOf.isBefore(peer.knownSince)) {
        peer.missingSince = Optional.of(asOf);
      } else if (peer.missingSince
          .map(since -> !since.plus(settings.vmListLag()).isAfter(asOf))
          .orElse(false)) {
        end(peer, now);
      }
    }
  }

  private static void prove(Peer peer, Instant now) {
    peer.endProven = true;
    end(peer, now);
  }

  private static void end(Peer peer, Instant now) {
    peer.endedAt = peer.endedAt.or(() -> Optional.of(now));
  }

  Optional<Instant> endedAt(RunId run) {
    return Optional.ofNullable(peers.get(run)).flatMap(peer -> peer.endedAt);
  }

  /**
   * Returns the runs whose end this node has seen itself: a refused connection or a later run. The
   * VM list is no such proof, because a VM that it drops wrongly still runs.
   */
  Set<RunId> provenEnded() {
    return peers.entrySet().stream()
        .filter(entry -> entry.getValue().endProven)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  boolean isEnded(RunId run) {
    return endedAt(run).isPresent();
  }

  boolean isLeaving(RunId run) {
    Peer peer = peers.get(run);
    return peer != null && peer.leaving;
  }

  boolean hasAcknowledged(RunId run, long offset) {
    Peer peer = peers.get(run);
    return peer != null && peer.acknowledged > offset;
  }

  boolean vouchedSince(RunId run, Instant limit) {
    Peer peer = peers.get(run);
    return peer != null && peer.vouchedAt.map(at -> at.isAfter(limit)).orElse(false);
  }

  boolean isSilent(RunId run, Duration duration, Instant now) {
    Peer peer = peers.get(run);
    return peer != null && isWatched(peer, now) && !peer.watchedSince.plus(duration).isAfter(now);
  }

  /** Forgets pings whose answers could no longer renew a lease. */
  void prune(Instant now) {
    Instant limit = now.minus(settings.lease().multipliedBy(2));
    pings.values().removeIf(ping -> ping.sentAt.isBefore(limit));
  }
}
