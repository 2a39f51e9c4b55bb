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
import org.cactusseam.logic.rollout.VersionTest;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.LoadReport;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.message.PeerMessage;
import org.cactusseam.model.message.ShardRolloutReport;
import org.jspecify.annotations.Nullable;

/**
 * Holds the admission state of the shards that this daemon owns and sends the decisions to the
 * daemons that requested permits. Confined to the control thread.
 */
final class OwnedShards {

  private static final long RETRY_AFTER_NOT_OWNER_MILLIS = 500;

  /**
   * Time after its grant from which an attempt that its daemon does not list as running counts as
   * ended, because the message about its end was lost. Longer than the validity of a permit and the
   * interval of the lists together.
   */
  private static final Duration MISSING_ATTEMPT_TIMEOUT = Duration.ofSeconds(4);

  private final Clock clock;
  private final AdmissionSettings settings;
  private final Predicate<ShardId> mayGrant;
  private final PermitRouter.Sender sender;
  private final Map<ShardId, AdmissionShard> shards = new TreeMap<>();
  private final QuarantineService quarantine;
  private final Map<PermitRequestId, Integer> rounds = new HashMap<>();
  private final Map<PermitRequestId, String> fingerprints = new HashMap<>();
  private final Map<ShardId, Map<PermitRequestId, Instant>> grantTimes = new HashMap<>();

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
   * Sets the shards that this daemon owns. Shards whose takeover is not complete register running
   * attempts but grant no permits.
   *
   * @param epochs epochs by shard
   * @param shardMap servers of all shards
   * @param configuration current configuration
   */
  void configure(Map<ShardId, Long> epochs, ShardMap shardMap, Configuration configuration) {
    for (ShardId removed : Set.copyOf(shards.keySet())) {
      if (!epochs.containsKey(removed)) {
        shards.remove(removed);
        grantTimes.remove(removed);
      }
    }
    epochs.forEach(
        (id, epoch) -> {
          List<BackendServer> servers = shardMap.shards().getOrDefault(id, List.of());
          AdmissionShard shard = shards.computeIfAbsent(id, this::newShard);
          shard.setLeaseValid(mayGrant.test(id));
          shard.configure(servers, configuration, epoch);
        });
    sendDecisions();
  }

  /** Returns the loads of the shards for which this daemon may grant permits. */
  List<PeerMessage.ShardLoadEntry> loads() {
    return shards.entrySet().stream()
        .filter(entry -> mayGrant.test(entry.getKey()))
        .map(entry -> new PeerMessage.ShardLoadEntry(entry.getKey(), entry.getValue().load()))
        .toList();
  }

  /** Returns what this daemon knows about roll-outs as an owner that may grant permits. */
  List<ShardRolloutReport> rolloutReports() {
    return shards.entrySet().stream()
        .filter(entry -> mayGrant.test(entry.getKey()))
        .flatMap(entry -> entry.getValue().rollout().report().stream())
        .toList();
  }

  /** Tells the own shards of a pool that the owner of any shard has found the new version bad. */
  void recordBadVerdict(PoolRollout rollout, VersionTest.Verdict verdict) {
    shards.forEach(
        (id, shard) -> {
          if (id.pool().equals(rollout.pool())) {
            shard.rollout().recordBadVerdict(rollout.order(), verdict);
          }
        });
  }

  /** Returns whether this daemon owns a shard and may grant permits for it. */
  boolean mayGrant(ShardId shard) {
    return shards.containsKey(shard) && mayGrant.test(shard);
  }

  private AdmissionShard newShard(ShardId id) {
    AdmissionShard shard = new AdmissionShard(id, clock, settings);
    shard.setPlacementRule(quarantine::mayRun);
    return shard;
  }

  Set<ShardId> owned() {
    return shards.keySet();
  }

  void requestPermit(PermitRequest request, int round) {
    AdmissionShard shard = shards.get(request.shard());
    if (shard == null || !mayGrant.test(request.shard())) {
      sendDecision(
          new AdmissionDecision.Refused(
              request.id(),
              ResultCode.NO_ADMISSION,
              "this VM may not grant permits for shard " + request.shard(),
              RETRY_AFTER_NOT_OWNER_MILLIS),
          round);
      return;
    }
    boolean isRunning =
        grantTimes.getOrDefault(request.shard(), Map.of()).containsKey(request.id());
    if (!isRunning && quarantine.isQuarantined(request.fingerprint())) {
      shard.recordEnd(request.id(), AttemptEnd.NOT_SENT, 0);
      sendDecision(
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
    sendDecisions();
  }

  void onResponseStarted(PeerMessage.ResponseStarted message) {
    quarantine.recordConfirmation(message.attempt(), message.condition().incarnation());
    AdmissionShard shard = shardWithCurrentLease(message.shard());
    if (shard != null) {
      shard.recordConfirmation(message.attempt(), message.condition());
      sendDecisions();
    }
  }

  void onAttemptResponse(PeerMessage.AttemptResponse message) {
    AdmissionShard shard = shards.get(message.shard());
    if (shard != null) {
      Duration time = Duration.ofMillis(message.responseMillis());
      shard
          .rollout()
          .recordResponse(
              message.attempt(), message.server(), message.route().value(), message.failed(), time);
    }
  }

  void onAttemptEnded(PeerMessage.AttemptEnded message) {
    rounds.remove(message.attempt());
    fingerprints.remove(message.attempt());
    quarantine.recordEnd(message.attempt(), message.end());
    grantTimes.getOrDefault(message.shard(), Map.of()).keySet().remove(message.attempt());
    AdmissionShard shard = shardWithCurrentLease(message.shard());
    if (shard != null) {
      shard.recordEnd(message.attempt(), message.end(), message.tokens());
      sendDecisions();
    }
  }

  void onLoadReport(ShardId id, BackendServerName server, LoadReport report, Instant askedAt) {
    quarantine.recordIncarnation(server, report.condition().incarnation(), askedAt);
    AdmissionShard shard = shardWithCurrentLease(id);
    if (shard != null) {
      shard.recordLoadReport(server, report);
      sendDecisions();
    }
  }

  void onCacheEvent(
      ShardId id, BackendServerName server, long number, boolean stored, long prefix) {
    AdmissionShard shard = shards.get(id);
    if (shard != null) {
      shard.recordCacheEvent(server, number, stored, prefix);
    }
  }

  void onAttemptTransferred(PeerMessage.TransferAttempt message) {
    AdmissionShard shard = shardWithCurrentLease(message.permit().shard());
    if (shard != null) {
      shard.adopt(message.request(), message.permit(), message.tokens());
      recordGrant(message.permit(), message.request().fingerprint());
      sendDecisions();
    }
  }

  /**
   * Compares the attempts that run at a daemon with the permits that were granted to it, and ends
   * those that it no longer lists.
   *
   * @param node VM of the daemon
   * @param running attempts of one shard that run there
   */
  void reconcileAttempts(NodeName node, PeerMessage.RunningAttempts running) {
    AdmissionShard shard = shardWithCurrentLease(running.shard());
    if (shard == null) {
      return;
    }
    Set<PermitRequestId> listed = new HashSet<>();
    for (PeerMessage.RunningAttempt attempt : running.attempts()) {
      PermitRequestId id = new PermitRequestId(node, running.boot(), attempt.sequence());
      listed.add(id);
      shard.recordProgress(id, attempt.tokens());
    }
    Instant limit = clock.instant().minus(MISSING_ATTEMPT_TIMEOUT);
    Map<PermitRequestId, Instant> granted = grantTimes.getOrDefault(running.shard(), Map.of());
    List<PermitRequestId> missing =
        granted.entrySet().stream()
            .filter(entry -> entry.getKey().node().equals(node))
            .filter(entry -> entry.getKey().boot().equals(running.boot()))
            .filter(entry -> entry.getValue().isBefore(limit) && !listed.contains(entry.getKey()))
            .map(Map.Entry::getKey)
            .toList();
    for (PermitRequestId id : missing) {
      granted.remove(id);
      quarantine.recordEnd(id, AttemptEnd.CANCELLED);
      shard.recordEnd(id, AttemptEnd.CANCELLED, 0);
    }
    sendDecisions();
  }

  /**
   * Ends all attempts of a process of an entry daemon that no longer runs.
   *
   * @param node VM of the daemon
   * @param boot boot ID of the process
   */
  void onRequesterLost(NodeName node, String boot) {
    for (Map<PermitRequestId, Instant> granted : grantTimes.values()) {
      List<PermitRequestId> cancelled =
          granted.keySet().stream()
              .filter(id -> id.node().equals(node) && id.boot().equals(boot))
              .toList();
      cancelled.forEach(granted::remove);
      cancelled.forEach(id -> quarantine.recordEnd(id, AttemptEnd.CANCELLED));
    }
    // Also drops attempts that are still queued, for which no decision will be made.
    rounds.keySet().removeIf(id -> id.node().equals(node) && id.boot().equals(boot));
    fingerprints.keySet().removeIf(id -> id.node().equals(node) && id.boot().equals(boot));
    shards.values().forEach(shard -> shard.markRequesterLost(node, boot));
    sendDecisions();
  }

  void tick() {
    quarantine.tick();
    shards.forEach(
        (id, shard) -> {
          shard.setLeaseValid(mayGrant.test(id));
          shard.tick();
        });
    sendDecisions();
  }

  private @Nullable AdmissionShard shardWithCurrentLease(ShardId id) {
    AdmissionShard shard = shards.get(id);
    if (shard != null) {
      shard.setLeaseValid(mayGrant.test(id));
    }
    return shard;
  }

  private void sendDecisions() {
    for (AdmissionShard shard : shards.values()) {
      for (AdmissionDecision decision : shard.drain()) {
        if (decision instanceof AdmissionDecision.Granted grant) {
          recordGrant(grant.permit(), fingerprints.remove(grant.id()));
        }
        sendDecision(decision, rounds.getOrDefault(decision.id(), 0));
      }
    }
  }

  private void recordGrant(Permit permit, @Nullable String fingerprint) {
    grantTimes
        .computeIfAbsent(permit.shard(), key -> new HashMap<>())
        .put(permit.id(), clock.instant());
    if (fingerprint != null) {
      quarantine.recordStart(permit.shard(), permit.server(), permit.id(), fingerprint);
    }
  }

  private void sendDecision(AdmissionDecision decision, int round) {
    if (!(decision instanceof AdmissionDecision.Queued)) {
      rounds.remove(decision.id());
      fingerprints.remove(decision.id());
    }
    sender.send(decision.id().node(), new PeerMessage.PermitDecision(decision, round));
  }
}
