package org.cactusseam.edge.control;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Clock;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.quarantine.QuarantineDecision;
import org.cactusseam.logic.quarantine.QuarantineTable;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.message.PeerMessage;
import org.cactusseam.model.quarantine.CrashId;
import org.cactusseam.model.quarantine.Suspicions;

/**
 * Owns the quarantine table: detects crashes of the servers of owned shards, exchanges suspicions
 * with the peers and holds failures back until the owners know of a crash.
 *
 * <p>Owned by the control thread.
 */
final class QuarantineService {

  private static final StructuredLog LOG = StructuredLog.of(QuarantineService.class);

  private final Clock clock;
  private final QuarantineTable table;
  private final PermitRouter.Sender sender;
  private final Consumer<PeerMessage> toAllPeers;
  private final Function<ShardId, Collection<NodeName>> ownersOfPool;
  private final Map<BackendServerName, CrashDetector> servers = new TreeMap<>();
  private final Map<PermitRequestId, Placed> placed = new HashMap<>();
  private final Map<PermitRequestId, CrashId> crashes = new HashMap<>();
  private final Map<PermitRequestId, Held> held = new HashMap<>();

  private record Placed(ShardId shard, BackendServerName server, String fingerprint) {}

  private record Held(Placed placed, Instant since) {}

  /**
   * Creates a desk that knows nothing.
   *
   * @param node this node
   * @param clock source of time
   * @param sender sends a message to a node, also this one
   * @param toAllPeers sends a message to all peers
   * @param ownersOfPool owners of all shards of a shard's pool
   */
  QuarantineService(
      NodeName node,
      Clock clock,
      PermitRouter.Sender sender,
      Consumer<PeerMessage> toAllPeers,
      Function<ShardId, Collection<NodeName>> ownersOfPool) {
    this.clock = clock;
    this.table = new QuarantineTable(node, clock);
    this.sender = sender;
    this.toAllPeers = toAllPeers;
    this.ownersOfPool = ownersOfPool;
  }

  boolean isQuarantined(String fingerprint) {
    return table.isQuarantined(fingerprint);
  }

  /** Tells whether a request may run beside others; most requests are neither. */
  boolean mayRun(String fingerprint, Collection<String> running) {
    if (!table.isSuspect(fingerprint) && !table.isQuarantined(fingerprint)) {
      return true;
    }
    return table.decide(fingerprint, running) == QuarantineDecision.ALLOWED;
  }

  void started(
      ShardId shard, BackendServerName server, PermitRequestId attempt, String fingerprint) {
    if (placed.put(attempt, new Placed(shard, server, fingerprint)) == null) {
      runs(server).started(attempt, fingerprint);
    }
  }

  void confirmed(PermitRequestId attempt, String incarnation) {
    Placed at = placed.get(attempt);
    if (at != null) {
      runs(at.server)
          .confirmed(attempt, incarnation, clock.instant())
          .ifPresent(crash -> crashed(at.server, crash));
    }
  }

  /** Notes an incarnation in a load report. */
  void heard(BackendServerName server, String incarnation, Instant askedAt) {
    runs(server).heard(incarnation, askedAt).ifPresent(crash -> crashed(server, crash));
    release();
  }

  /** Notes that a server refused a connection. */
  void refused(BackendServerName server) {
    runs(server).refused().ifPresent(crash -> crashed(server, crash));
    release();
  }

  /** Notes the end of an attempt; a broken one is answered when its failure may be passed on. */
  void ended(PermitRequestId attempt, AttemptEnd end) {
    Placed at = placed.remove(attempt);
    if (at == null) {
      if (end == AttemptEnd.BROKEN) {
        sender.send(attempt.node(), new PeerMessage.FailureAcknowledged(attempt));
      }
      return;
    }
    CrashDetector runs = runs(at.server);
    if (end != AttemptEnd.BROKEN) {
      runs.ended(attempt);
      crashes.remove(attempt);
      if (end == AttemptEnd.COMPLETED) {
        table.recordCompletion(at.fingerprint);
      }
      return;
    }
    held.put(attempt, new Held(at, clock.instant()));
    runs.broke(attempt, clock.instant()).ifPresent(crash -> crashed(at.server, crash));
    release();
  }

  private void crashed(BackendServerName server, CrashDetector.Crash crash) {
    CrashId id = table.recordCrash(server, crash.incarnation(), crash.attempts().values());
    crash.attempts().keySet().forEach(attempt -> crashes.put(attempt, id));
    LOG.warn(
        "server_crashed",
        field("server", server),
        field("incarnation", crash.incarnation()),
        field("suspects", crash.attempts().size()));
    toAllPeers.accept(new PeerMessage.SuspicionsUpdate(table.suspicions()));
  }

  /** Returns the servers that should be asked at once whether they crashed. */
  List<BackendServerName> suspectedServers() {
    return servers.entrySet().stream()
        .filter(entry -> entry.getValue().isSuspected())
        .map(Map.Entry::getKey)
        .toList();
  }

  void tick() {
    table.tick();
    release();
    crashes.keySet().removeIf(each -> !held.containsKey(each) && !placed.containsKey(each));
  }

  private void release() {
    Instant limit = clock.instant().minus(QuarantineTable.FAILURE_HOLD_LIMIT);
    List<PermitRequestId> released =
        held.entrySet().stream()
            .filter(
                entry ->
                    !entry.getValue().since.isAfter(limit)
                        || mayPass(entry.getKey(), entry.getValue().placed))
            .map(Map.Entry::getKey)
            .toList();
    for (PermitRequestId attempt : released) {
      held.remove(attempt);
      crashes.remove(attempt);
      sender.send(attempt.node(), new PeerMessage.FailureAcknowledged(attempt));
    }
  }

  private boolean mayPass(PermitRequestId attempt, Placed at) {
    if (runs(at.server).awaits(attempt)) {
      return false;
    }
    return Optional.ofNullable(crashes.get(attempt))
        .map(crash -> table.isKnownToOwners(crash, ownersOfPool.apply(at.shard)))
        .orElse(true);
  }

  /** Tells whether peers may know something else, so that digests have to be exchanged. */
  boolean knowsSuspicions() {
    return !table.suspicions().equals(Suspicions.NONE);
  }

  long digest() {
    return table.digest();
  }

  void news(NodeName peer, Suspicions known) {
    mergePeerState(peer, known);
    sender.send(peer, new PeerMessage.SuspicionsReply(table.suspicions()));
  }

  void mergePeerState(NodeName peer, Suspicions known) {
    table.mergePeerState(peer, known);
    release();
  }

  void checkPeerDigest(NodeName peer, long digest) {
    if (table.checkPeerDigest(peer, digest)) {
      sender.send(peer, new PeerMessage.SuspicionsUpdate(table.suspicions()));
    }
    release();
  }

  private CrashDetector runs(BackendServerName server) {
    return servers.computeIfAbsent(server, name -> new CrashDetector());
  }
}
