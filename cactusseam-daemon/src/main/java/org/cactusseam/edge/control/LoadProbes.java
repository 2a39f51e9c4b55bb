package org.cactusseam.edge.control;

import io.vertx.core.Future;
import java.net.ConnectException;
import java.time.Clock;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.cactusseam.edge.backend.LoadPoller;
import org.cactusseam.logic.membership.ShardMap;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.LoadReport;

/**
 * Polls the load reports of the servers of owned shards and passes them to admission; a refused
 * connection goes to the crash detection. Confined to the control thread.
 */
final class LoadProbes {

  private final Clock clock;
  private final LoadPoller poller;
  private final OwnedShards owned;
  private final QuarantineService quarantine;
  private final Supplier<ShardMap> shardMap;
  private final Set<BackendServerName> pendingProbes = new HashSet<>();

  LoadProbes(
      Clock clock,
      LoadPoller poller,
      OwnedShards owned,
      QuarantineService quarantine,
      Supplier<ShardMap> shardMap) {
    this.clock = clock;
    this.poller = poller;
    this.owned = owned;
    this.quarantine = quarantine;
    this.shardMap = shardMap;
  }

  void pollAll() {
    for (ShardId shard : List.copyOf(owned.owned())) {
      for (BackendServer server : shardMap.get().shards().getOrDefault(shard, List.of())) {
        poll(shard, server);
      }
    }
  }

  /**
   * Polls the servers whose streams broke without waiting for the next regular poll, since callers
   * wait until it is known whether the server crashed.
   */
  void pollSuspected() {
    Set<BackendServerName> suspected = Set.copyOf(quarantine.suspectedServers());
    if (suspected.isEmpty()) {
      return;
    }
    for (ShardId shard : List.copyOf(owned.owned())) {
      for (BackendServer server : shardMap.get().shards().getOrDefault(shard, List.of())) {
        if (suspected.contains(server.name()) && pendingProbes.add(server.name())) {
          poll(shard, server).onComplete(done -> pendingProbes.remove(server.name()));
        }
      }
    }
  }

  private Future<LoadReport> poll(ShardId shard, BackendServer server) {
    Instant askedAt = clock.instant();
    return poller
        .poll(server)
        .onSuccess(report -> owned.onLoadReport(shard, server.name(), report, askedAt))
        .onFailure(
            cause -> {
              if (cause instanceof ConnectException) {
                quarantine.recordRefusedConnection(server.name());
              }
            });
  }
}
