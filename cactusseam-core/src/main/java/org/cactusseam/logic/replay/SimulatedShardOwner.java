package org.cactusseam.logic.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cactusseam.logic.admission.AdmissionShard;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.admission.ShardLoad;

/**
 * Owner of one admission shard in a replay: passes inputs to the shard, delivers its decisions to
 * the requesters and publishes its load.
 */
final class SimulatedShardOwner {

  private static final long TICK_MICROS = 50_000;
  private static final long LOAD_PUBLISH_MICROS = 500_000;

  final ShardId id;

  final String region;
  private final EventQueue queue;
  private final AdmissionShard shard;
  private final List<SimulatedServer> servers = new ArrayList<>();
  private final Map<PermitRequestId, Consumer<AdmissionDecision>> requesters = new HashMap<>();
  private ShardLoad published = new ShardLoad(0, 0, 0, 0, List.of(0L));
  private int sentSincePublished;

  SimulatedShardOwner(ShardId id, EventQueue queue, PausedClock clock, ReplaySettings settings) {
    this.id = id;
    this.region = id.region().value();
    this.queue = queue;
    this.shard = new AdmissionShard(id, clock, settings.admission());
    tick();
    publish();
  }

  void add(SimulatedServer server) {
    servers.add(server);
  }

  SimulatedServer server(String name) {
    return servers.stream()
        .filter(server -> server.description.name().value().equals(name))
        .findFirst()
        .orElseThrow();
  }

  /** Counts a permit request that the published load does not include yet. */
  void recordSent() {
    sentSincePublished++;
  }

  /** Returns the wait that requesters derive from the published load, in milliseconds. */
  double expectedWait(int rank) {
    return published.expectedWaitMillis(rank, sentSincePublished);
  }

  void configure(Configuration configuration, long epoch) {
    apply(
        target ->
            target.configure(
                servers.stream().map(server -> server.description).toList(), configuration, epoch));
  }

  /** Registers the receiver of decisions on an attempt. */
  void addRequester(PermitRequestId attempt, Consumer<AdmissionDecision> requester) {
    requesters.put(attempt, requester);
  }

  void removeRequester(PermitRequestId attempt) {
    requesters.remove(attempt);
  }

  /** Applies an input to the shard and delivers the decisions that result from it. */
  void apply(Consumer<AdmissionShard> input) {
    input.accept(shard);
    for (AdmissionDecision decision : shard.drain()) {
      Consumer<AdmissionDecision> requester = requesters.get(decision.id());
      if (requester != null) {
        requester.accept(decision);
      }
    }
  }

  private void tick() {
    apply(AdmissionShard::tick);
    queue.scheduleAfter(TICK_MICROS, this::tick);
  }

  private void publish() {
    published = shard.load();
    sentSincePublished = 0;
    queue.scheduleAfter(LOAD_PUBLISH_MICROS, this::publish);
  }
}
