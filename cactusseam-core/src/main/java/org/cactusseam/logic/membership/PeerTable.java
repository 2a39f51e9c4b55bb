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
 * Records what a node knows about the other runs from pings, connections and the VM list: how far
 * they have read the log, since when they have not answered, and whether they have ended.
 */
final class PeerTable {

  /** A ping that has not been answered. */
  private record SentPing(RunId to, Instant sentAt) {}

  /**
   * An answer to a ping. It counts only once this node has applied all records that the peer had
   * applied.
   */
  private record Answer(Instant sentAt, long nextOffset, Optional<Instant> logReadAt) {}

  private static final class Peer {
    private final Instant knownSince;
    private Optional<Instant> pingedAt = Optional.empty();
    private Instant watchedSince;
    private Optional<Instant> confirmedAt = Optional.empty();
    private Optional<Answer> pending = Optional.empty();
    private Optional<Instant> absentSince = Optional.empty();
    private Optional<Instant> endedAt = Optional.empty();
    private boolean endProven;
    private long acknowledgedOffset;
    private boolean leaving;

    private Peer(Instant now) {
      knownSince = now;
      watchedSince = now;
    }
  }

  private final MembershipSettings settings;
  private final Map<RunId, Peer> peers = new HashMap<>();
  private final Map<Long, SentPing> pings = new HashMap<>();
  private Optional<Instant> vmListReadAt = Optional.empty();
  private Optional<Instant> relayedReadAt = Optional.empty();
  private long sequence;

  PeerTable(MembershipSettings settings) {
    this.settings = settings;
  }

  void onMembershipChanged(Membership membership, Instant now) {
    Set<RunId> runs =
        membership.entries().stream().map(Membership.Entry::run).collect(Collectors.toSet());
    peers.keySet().retainAll(runs);
    runs.forEach(run -> peers.computeIfAbsent(run, key -> new Peer(now)));
  }

  long recordPing(RunId to, Instant now) {
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
   * Tells whether a peer has been pinged recently enough for missing answers to mean something: not
   * before the first ping, for members that are no longer pinged, or after this process itself was
   * paused.
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

  /**
   * Handles an answer to a ping; returns true if the peer has read more of the log than this node.
   */
  boolean onPong(long number, PeerStatus status, long ownNextOffset, Instant now) {
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
    peer.acknowledgedOffset = Math.max(peer.acknowledgedOffset, status.nextOffset());
    peer.leaving |= status.leaving();
    Optional<Instant> logReadAt =
        status.logAgeMillis().isPresent()
            ? Optional.of(ping.sentAt.minusMillis(status.logAgeMillis().getAsLong()))
            : Optional.empty();
    Answer answer = new Answer(ping.sentAt, status.nextOffset(), logReadAt);
    if (answer.nextOffset <= ownNextOffset) {
      recordAnswer(peer, answer);
      return false;
    }
    peer.pending = Optional.of(answer);
    return true;
  }

  /** Counts the answers that waited until this node had applied the records of the peer. */
  void onRecordsApplied(long ownNextOffset) {
    for (Peer peer : peers.values()) {
      if (peer.pending.isPresent() && peer.pending.get().nextOffset <= ownNextOffset) {
        recordAnswer(peer, peer.pending.get());
        peer.pending = Optional.empty();
      }
    }
  }

  private void recordAnswer(Peer peer, Answer answer) {
    peer.confirmedAt = later(peer.confirmedAt, Optional.of(answer.sentAt));
    relayedReadAt = later(relayedReadAt, answer.logReadAt);
  }

  /** Returns the later of two times; an empty one is earlier than any other. */
  static Optional<Instant> later(Optional<Instant> left, Optional<Instant> right) {
    if (left.isPresent() && right.isPresent()) {
      return left.get().isBefore(right.get()) ? right : left;
    }
    return left.or(() -> right);
  }

  /**
   * Returns the send time of the newest read of the log that a peer reported and whose records this
   * node has applied.
   */
  Optional<Instant> relayedReadAt() {
    return relayedReadAt;
  }

  /**
   * Marks the earlier runs of a node as ended: a process starts a later run only after the earlier
   * one.
   */
  void onBootIdSeen(RunId seen, Instant now) {
    for (Map.Entry<RunId, Peer> entry : peers.entrySet()) {
      RunId known = entry.getKey();
      if (known.node().equals(seen.node()) && known.boot().compareTo(seen.boot()) < 0) {
        markProvenEnded(entry.getValue(), now);
      }
    }
  }

  /**
   * Marks the runs of a node as ended whose record was known before the attempt started; a later
   * run may have started listening since.
   */
  void onConnectionRefused(NodeName node, Instant attemptedAt, Instant now) {
    for (Map.Entry<RunId, Peer> entry : peers.entrySet()) {
      if (entry.getKey().node().equals(node) && entry.getValue().knownSince.isBefore(attemptedAt)) {
        markProvenEnded(entry.getValue(), now);
      }
    }
  }

  /** Marks runs as ended whose VMs have been absent from the list for its greatest lag. */
  void onVmListRead(Set<NodeName> shown, Instant asOf, Instant now) {
    if (vmListReadAt.map(at -> !at.isBefore(asOf)).orElse(false)) {
      return;
    }
    vmListReadAt = Optional.of(asOf);
    for (Map.Entry<RunId, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      if (shown.contains(entry.getKey().node())) {
        peer.absentSince = Optional.empty();
      } else if (peer.absentSince.isEmpty() && !asOf.isBefore(peer.knownSince)) {
        peer.absentSince = Optional.of(asOf);
      } else if (peer.absentSince
          .map(since -> !since.plus(settings.vmListLag()).isAfter(asOf))
          .orElse(false)) {
        markEnded(peer, now);
      }
    }
  }

  private static void markProvenEnded(Peer peer, Instant now) {
    peer.endProven = true;
    markEnded(peer, now);
  }

  private static void markEnded(Peer peer, Instant now) {
    peer.endedAt = peer.endedAt.or(() -> Optional.of(now));
  }

  Optional<Instant> endedAt(RunId run) {
    return Optional.ofNullable(peers.get(run)).flatMap(peer -> peer.endedAt);
  }

  /**
   * Returns the runs whose end this node has observed itself, by a refused connection or a later
   * run. The VM list is no such proof, because a VM that it drops by mistake still runs.
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

  /** Tells whether a run has reported that it applied the record at an offset. */
  boolean hasAcknowledged(RunId run, long offset) {
    Peer peer = peers.get(run);
    return peer != null && peer.acknowledgedOffset > offset;
  }

  /** Tells whether a run has answered a ping sent after a time, with a view that is not newer. */
  boolean hasConfirmedSince(RunId run, Instant limit) {
    Peer peer = peers.get(run);
    return peer != null && peer.confirmedAt.map(at -> at.isAfter(limit)).orElse(false);
  }

  /** Tells whether a run that is being pinged has not answered for a duration. */
  boolean isSilent(RunId run, Duration duration, Instant now) {
    Peer peer = peers.get(run);
    return peer != null && isWatched(peer, now) && !peer.watchedSince.plus(duration).isAfter(now);
  }

  /** Removes pings whose answers could no longer renew a lease. */
  void prune(Instant now) {
    Instant limit = now.minus(settings.lease().multipliedBy(2));
    pings.values().removeIf(ping -> ping.sentAt.isBefore(limit));
  }
}
