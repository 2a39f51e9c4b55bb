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
 * Detects crashes of the servers of owned shards, exchanges suspicions with the peers, and holds
 * back the failures of attempts until the owners of the pool know about the crash or it is certain
 * that there was none, so that no owner grants a retry without knowing. Confined to the control
 * thread.
 */
final class QuarantineService {

  private static final StructuredLog LOG = StructuredLog.of(QuarantineService.class);

  private final Clock clock;
  private final QuarantineTable table;
  private final PermitRouter.Sender sender;
  private final Consumer<PeerMessage> peerBroadcast;
  private final Function<ShardId, Collection<NodeName>> ownersOfPool;
  private final Map<BackendServerName, CrashDetector> detectors = new TreeMap<>();
  private final Map<PermitRequestId, Placement> placements = new HashMap<>();
  private final Map<PermitRequestId, CrashId> crashes = new HashMap<>();
  private final Map<PermitRequestId, HeldFailure> heldFailures = new HashMap<>();

  private record Placement(ShardId shard, BackendServerName server, String fingerprint) {}

  private record HeldFailure(Placement placement, Instant heldSince) {}

  /**
   * Creates the service without suspicions.
   *
   * @param node name of this VM
   * @param clock clock for time limits
   * @param sender sends a message to a VM, which may be this one
   * @param peerBroadcast sends a message to all peers
   * @param ownersOfPool returns the owners of all shards in the pool of a shard
   */
  QuarantineService(
      NodeName node,
      Clock clock,
      PermitRouter.Sender sender,
      Consumer<PeerMessage> peerBroadcast,
      Function<ShardId, Collection<NodeName>> ownersOfPool) {
    this.clock = clock;
    this.table = new QuarantineTable(node, clock);
    this.sender = sender;
    this.peerBroadcast = peerBroadcast;
    this.ownersOfPool = ownersOfPool;
  }

  boolean isQuarantined(String fingerprint) {
    return table.isQuarantined(fingerprint);
  }

  /**
   * Returns whether a request may run on a server beside others. Most requests are neither
   * suspected nor quarantined and always may.
   */
  boolean mayRun(String fingerprint, Collection<String> running) {
    if (!table.isSuspect(fingerprint) && !table.isQuarantined(fingerprint)) {
      return true;
    }
    return table.decide(fingerprint, running) == QuarantineDecision.ALLOWED;
  }

  void recordStart(
      ShardId shard, BackendServerName server, PermitRequestId attempt, String fingerprint) {
    if (placements.put(attempt, new Placement(shard, server, fingerprint)) == null) {
      detectorOf(server).recordStart(attempt, fingerprint);
    }
  }

  void recordConfirmation(PermitRequestId attempt, String incarnation) {
    Placement placement = placements.get(attempt);
    if (placement != null) {
      detectorOf(placement.server)
          .recordConfirmation(attempt, incarnation, clock.instant())
          .ifPresent(crash -> onCrash(placement.server, crash));
    }
  }

  /** Records the incarnation that a load report stated. */
  void recordIncarnation(BackendServerName server, String incarnation, Instant askedAt) {
    detectorOf(server)
        .recordIncarnation(incarnation, askedAt)
        .ifPresent(crash -> onCrash(server, crash));
    releaseFailures();
  }

  /** Records that a server refused a connection. */
  void recordRefusedConnection(BackendServerName server) {
    detectorOf(server).recordRefusedConnection().ifPresent(crash -> onCrash(server, crash));
    releaseFailures();
  }

  /**
   * Records the end of an attempt. If its stream broke, the daemon that made it is told as soon as
   * the failure may be answered.
   */
  void recordEnd(PermitRequestId attempt, AttemptEnd end) {
    Placement placement = placements.remove(attempt);
    if (placement == null) {
      if (end == AttemptEnd.BROKEN) {
        sender.send(attempt.node(), new PeerMessage.FailureAcknowledged(attempt));
      }
      return;
    }
    CrashDetector detector = detectorOf(placement.server);
    if (end != AttemptEnd.BROKEN) {
      detector.recordEnd(attempt);
      crashes.remove(attempt);
      if (end == AttemptEnd.COMPLETED) {
        table.recordCompletion(placement.fingerprint);
      }
      return;
    }
    heldFailures.put(attempt, new HeldFailure(placement, clock.instant()));
    detector
        .recordBrokenStream(attempt, clock.instant())
        .ifPresent(crash -> onCrash(placement.server, crash));
    releaseFailures();
  }

  private void onCrash(BackendServerName server, CrashDetector.Crash crash) {
    CrashId id = table.recordCrash(server, crash.incarnation(), crash.attempts().values());
    crash.attempts().keySet().forEach(attempt -> crashes.put(attempt, id));
    LOG.warn(
        "server_crashed",
        field("server", server),
        field("incarnation", crash.incarnation()),
        field("suspects", crash.attempts().size()));
    peerBroadcast.accept(new PeerMessage.SuspicionsUpdate(table.suspicions()));
  }

  /** Returns the servers that should be polled at once to find out whether they crashed. */
  List<BackendServerName> suspectedServers() {
    return detectors.entrySet().stream()
        .filter(entry -> entry.getValue().isSuspected())
        .map(Map.Entry::getKey)
        .toList();
  }

  void tick() {
    table.tick();
    releaseFailures();
    crashes
        .keySet()
        .removeIf(each -> !heldFailures.containsKey(each) && !placements.containsKey(each));
  }

  private void releaseFailures() {
    Instant limit = clock.instant().minus(QuarantineTable.FAILURE_HOLD_LIMIT);
    List<PermitRequestId> released =
        heldFailures.entrySet().stream()
            .filter(
                entry ->
                    !entry.getValue().heldSince.isAfter(limit)
                        || mayRelease(entry.getKey(), entry.getValue().placement))
            .map(Map.Entry::getKey)
            .toList();
    for (PermitRequestId attempt : released) {
      heldFailures.remove(attempt);
      crashes.remove(attempt);
      sender.send(attempt.node(), new PeerMessage.FailureAcknowledged(attempt));
    }
  }

  private boolean mayRelease(PermitRequestId attempt, Placement placement) {
    if (detectorOf(placement.server).isSuspect(attempt)) {
      return false;
    }
    return Optional.ofNullable(crashes.get(attempt))
        .map(crash -> table.isKnownToOwners(crash, ownersOfPool.apply(placement.shard)))
        .orElse(true);
  }

  /**
   * Returns whether this daemon knows suspicions, so that digests have to be exchanged with the
   * peers.
   */
  boolean knowsSuspicions() {
    return !table.suspicions().equals(Suspicions.NONE);
  }

  long digest() {
    return table.digest();
  }

  void mergeAndReply(NodeName peer, Suspicions known) {
    mergePeerState(peer, known);
    sender.send(peer, new PeerMessage.SuspicionsReply(table.suspicions()));
  }

  void mergePeerState(NodeName peer, Suspicions known) {
    table.mergePeerState(peer, known);
    releaseFailures();
  }

  void checkPeerDigest(NodeName peer, long digest) {
    if (table.checkPeerDigest(peer, digest)) {
      sender.send(peer, new PeerMessage.SuspicionsUpdate(table.suspicions()));
    }
    releaseFailures();
  }

  private CrashDetector detectorOf(BackendServerName server) {
    return detectors.computeIfAbsent(server, name -> new CrashDetector());
  }
}
