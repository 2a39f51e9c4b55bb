package org.cactusseam.edge.control;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.cactusseam.logic.admission.AdmissionShard;
import org.cactusseam.logic.membership.ShardMap;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.LoadReport;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.message.PeerMessage;

/** Admission shards that this daemon owns, and the answers to those who asked. */
final class OwnedShards {

  private static final long RETRY_NOT_OWNER_MILLIS = 500;

  private final Clock clock;
  private final Predicate<ShardId> mayGrant;
  private final PermitRouter.Sender sender;
  private final Map<ShardId, AdmissionShard> shards = new TreeMap<>();
  private final Map<PermitRequestId, Integer> rounds = new HashMap<>();

  OwnedShards(Clock clock, Predicate<ShardId> mayGrant, PermitRouter.Sender sender) {
    this.clock = clock;
    this.mayGrant = mayGrant;
    this.sender = sender;
  }

  /**
   * Sets the shards that this daemon owns.
   *
   * @param epochs owned shards with their epochs
   * @param map servers of all shards
   * @param configuration configuration
   */
  void configure(Map<ShardId, Long> epochs, ShardMap map, Configuration configuration) {
    shards.keySet().retainAll(epochs.keySet());
    epochs.forEach(
        (id, epoch) -> {
          List<BackendServer> servers = map.shards().getOrDefault(id, List.of());
          shards
              .computeIfAbsent(id, key -> new AdmissionShard(key, clock))
              .configure(servers, configuration, epoch);
        });
    deliver();
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
              "not the owner of shard " + request.shard(),
              RETRY_NOT_OWNER_MILLIS),
          round);
      return;
    }
    rounds.put(request.id(), round);
    shard.request(request);
    deliver();
  }

  void confirmed(PeerMessage.Confirmed message) {
    AdmissionShard shard = shards.get(message.shard());
    if (shard != null) {
      shard.confirmed(message.attempt(), message.condition());
      deliver();
    }
  }

  void ended(PeerMessage.Ended message) {
    rounds.remove(message.attempt());
    AdmissionShard shard = shards.get(message.shard());
    if (shard != null) {
      shard.ended(message.attempt(), message.end(), message.tokens());
      deliver();
    }
  }

  void loadReport(ShardId id, BackendServerName server, LoadReport report) {
    AdmissionShard shard = shards.get(id);
    if (shard != null) {
      shard.loadReport(server, report);
      deliver();
    }
  }

  void tick() {
    shards.values().forEach(AdmissionShard::tick);
    deliver();
  }

  private void deliver() {
    for (AdmissionShard shard : shards.values()) {
      for (AdmissionDecision decision : shard.drain()) {
        answer(decision, rounds.getOrDefault(decision.id(), 0));
      }
    }
  }

  private void answer(AdmissionDecision decision, int round) {
    if (!(decision instanceof AdmissionDecision.Queued)) {
      rounds.remove(decision.id());
    }
    sender.send(decision.id().node(), new PeerMessage.Decided(decision, round));
  }
}
