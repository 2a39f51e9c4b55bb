package org.cactusseam.edge.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.cactusseam.logic.admission.AdmissionSettings;
import org.cactusseam.logic.admission.AdmissionShard;
import org.cactusseam.logic.membership.ShardMap;
import org.cactusseam.logic.quarantine.QuarantineTable;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.LoadReport;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.message.PeerMessage;
import org.jspecify.annotations.Nullable;

/** Admission shards that this daemon owns, and the answers to those who asked. */
final class OwnedShards {

  private static final long RETRY_NOT_OWNER_MILLIS = 500;

  /**
   * An attempt that its daemon does not list this long after it was granted has ended, and the
   * message about its end was lost. Longer than the validity of a permit and an inventory interval
   * together.
   */
  private static final Duration LOST_AFTER = Duration.ofSeconds(4);

  private final Clock clock;
  private final AdmissionSettings settings;
  private final Predicate<ShardId> mayGrant;
  private final PermitRouter.Sender sender;
  private final Map<ShardId, AdmissionShard> shards = new TreeMap<>();
  private final QuarantineService quarantine;
  private final Map<PermitRequestId, Integer> rounds = new HashMap<>();
  private final Map<PermitRequestId, String> fingerprints = new HashMap<>();
  private final Map<ShardId, Map<PermitRequestId, Instant>> granted = new HashMap<>();

  OwnedShards(
      Clock clock,
      AdmissionSettings settings,
      Predicate<ShardId> mayGrant,
      PermitRouter.Sender sender,
      QuarantineService quarantine) {
    this.quarantine = quarantine;
    this.clock = clock;
    this.settings = settings;
    this.mayGrant = mayGrant;
    this.sender = sender;
  }

  /**
   * Sets the shards that this daemon owns. Those that it has not taken over yet collect the
   * attempts that run but grant nothing.
   *
   * @param epochs shards with their epochs
   * @param map servers of all shards
   * @param configuration configuration
   */
  void configure(Map<ShardId, Long> epochs, ShardMap map, Configuration configuration) {
    for (ShardId lost : Set.copyOf(shards.keySet())) {
      if (!epochs.containsKey(lost)) {
        shards.remove(lost);
        granted.remove(lost);
      }
    }
    epochs.forEach(
        (id, epoch) -> {
          List<BackendServer> servers = map.shards().getOrDefault(id, List.of());
          AdmissionShard shard = shards.computeIfAbsent(id, this::newShard);
          shard.setLeaseValid(mayGrant.test(id));
          shard.configure(servers, configuration, epoch);
        });
    deliver();
  }

  /** Loads of the shards that this daemon may grant for. */
  List<PeerMessage.ShardLoadEntry> loads() {
    return shards.entrySet().stream()
        .filter(entry -> mayGrant.test(entry.getKey()))
        .map(entry -> new PeerMessage.ShardLoadEntry(entry.getKey(), entry.getValue().load()))
        .toList();
  }

  private AdmissionShard newShard(ShardId id) {
    AdmissionShard shard = new AdmissionShard(id, clock, settings);
    shard.setPlacementRule(quarantine::mayRun);
    return shard;
  }

  Set<ShardId> owned() {
    return shards.keySet();
  }

  void ask(PermitRequest request, int round) {
    AdmissionShard shard = shards.get(request.shard());
    if (shard == null || !mayGrant.test(request.shard())) {
      answer(
          new AdmissionDecision.Refused(
              request.id(),
              ResultCode.NO_ADMISSION,
              "this node may not grant for shard " + request.shard(),
              RETRY_NOT_OWNER_MILLIS),
          round);
      return;
    }
    boolean runs = granted.getOrDefault(request.shard(), Map.of()).containsKey(request.id());
    if (!runs && quarantine.isQuarantined(request.fingerprint())) {
      shard.recordEnd(request.id(), AttemptEnd.NOT_SENT, 0);
      answer(
          new AdmissionDecision.Refused(
              request.id(),
              ResultCode.QUARANTINED,
              "the request crashed backend servers",
              QuarantineTable.RETENTION.toMillis()),
          round);
      return;
    }
    rounds.put(request.id(), round);
    fingerprints.put(request.id(), request.fingerprint());
    shard.setLeaseValid(true);
    shard.request(request);
    deliver();
  }

  void confirmed(PeerMessage.ResponseStarted message) {
    quarantine.confirmed(message.attempt(), message.condition().incarnation());
    AdmissionShard shard = current(message.shard());
    if (shard != null) {
      shard.recordConfirmation(message.attempt(), message.condition());
      deliver();
    }
  }

  void ended(PeerMessage.AttemptEnded message) {
    rounds.remove(message.attempt());
    fingerprints.remove(message.attempt());
    quarantine.ended(message.attempt(), message.end());
    granted.getOrDefault(message.shard(), Map.of()).keySet().remove(message.attempt());
    AdmissionShard shard = current(message.shard());
    if (shard != null) {
      shard.recordEnd(message.attempt(), message.end(), message.tokens());
      deliver();
    }
  }

  void loadReport(ShardId id, BackendServerName server, LoadReport report, Instant askedAt) {
    quarantine.heard(server, report.condition().incarnation(), askedAt);
    AdmissionShard shard = current(id);
    if (shard != null) {
      shard.recordLoadReport(server, report);
      deliver();
    }
  }

  void cacheEvent(ShardId id, BackendServerName server, long number, boolean stored, long prefix) {
    AdmissionShard shard = shards.get(id);
    if (shard != null) {
      shard.recordCacheEvent(server, number, stored, prefix);
    }
  }

  void adopt(PeerMessage.TransferAttempt message) {
    AdmissionShard shard = current(message.permit().shard());
    if (shard != null) {
      shard.adopt(message.request(), message.permit(), message.tokens());
      remember(message.permit(), message.request().fingerprint());
      deliver();
    }
  }

  /**
   * Compares the attempts that a daemon lists with those that were granted to it.
   *
   * @param node daemon
   * @param inventory attempts that run there
   */
  void inventory(NodeName node, PeerMessage.RunningAttempts inventory) {
    AdmissionShard shard = current(inventory.shard());
    if (shard == null) {
      return;
    }
    Set<PermitRequestId> listed = new HashSet<>();
    for (PeerMessage.RunningAttempt attempt : inventory.attempts()) {
      PermitRequestId id = new PermitRequestId(node, inventory.boot(), attempt.sequence());
      listed.add(id);
      shard.recordProgress(id, attempt.tokens());
    }
    Instant limit = clock.instant().minus(LOST_AFTER);
    Map<PermitRequestId, Instant> known = granted.getOrDefault(inventory.shard(), Map.of());
    List<PermitRequestId> lost =
        known.entrySet().stream()
            .filter(entry -> entry.getKey().node().equals(node))
            .filter(entry -> entry.getKey().boot().equals(inventory.boot()))
            .filter(entry -> entry.getValue().isBefore(limit) && !listed.contains(entry.getKey()))
            .map(Map.Entry::getKey)
            .toList();
    for (PermitRequestId id : lost) {
      known.remove(id);
      quarantine.ended(id, AttemptEnd.CANCELLED);
      shard.recordEnd(id, AttemptEnd.CANCELLED, 0);
    }
    deliver();
  }

  /**
   * Notes that a run of a daemon is over.
   *
   * @param node daemon
   * @param boot identity of the run that is over
   */
  void requesterLost(NodeName node, String boot) {
    for (Map<PermitRequestId, Instant> known : granted.values()) {
      List<PermitRequestId> lost =
          known.keySet().stream()
              .filter(id -> id.node().equals(node) && id.boot().equals(boot))
              .toList();
      lost.forEach(known::remove);
      lost.forEach(id -> quarantine.ended(id, AttemptEnd.CANCELLED));
    }
    // Also attempts that waited and will get no decision.
    rounds.keySet().removeIf(id -> id.node().equals(node) && id.boot().equals(boot));
    fingerprints.keySet().removeIf(id -> id.node().equals(node) && id.boot().equals(boot));
    shards.values().forEach(shard -> shard.markRequesterLost(node, boot));
    deliver();
  }

  void tick() {
    quarantine.tick();
    shards.forEach(
        (id, shard) -> {
          shard.setLeaseValid(mayGrant.test(id));
          shard.tick();
        });
    deliver();
  }

  private @Nullable AdmissionShard current(ShardId id) {
    AdmissionShard shard = shards.get(id);
    if (shard != null) {
      shard.setLeaseValid(mayGrant.test(id));
    }
    return shard;
  }

  private void deliver() {
    for (AdmissionShard shard : shards.values()) {
      for (AdmissionDecision decision : shard.drain()) {
        if (decision instanceof AdmissionDecision.Granted grant) {
          remember(grant.permit(), fingerprints.remove(grant.id()));
        }
        answer(decision, rounds.getOrDefault(decision.id(), 0));
      }
    }
  }

  private void remember(Permit permit, @Nullable String fingerprint) {
    granted
        .computeIfAbsent(permit.shard(), key -> new HashMap<>())
        .put(permit.id(), clock.instant());
    if (fingerprint != null) {
      quarantine.started(permit.shard(), permit.server(), permit.id(), fingerprint);
    }
  }

  private void answer(AdmissionDecision decision, int round) {
    if (!(decision instanceof AdmissionDecision.Queued)) {
      rounds.remove(decision.id());
      fingerprints.remove(decision.id());
    }
    sender.send(decision.id().node(), new PeerMessage.PermitDecision(decision, round));
  }
}
