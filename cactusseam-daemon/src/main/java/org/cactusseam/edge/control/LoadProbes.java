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

/** Asks the servers of owned shards for their load, on the control thread. */
final class LoadProbes {

  private final Clock clock;
  private final LoadPoller poller;
  private final OwnedShards owned;
  private final QuarantineService quarantine;
  private final Supplier<ShardMap> map;
  private final Set<BackendServerName> probed = new HashSet<>();

  LoadProbes(
      Clock clock,
      LoadPoller poller,
      OwnedShards owned,
      QuarantineService quarantine,
      Supplier<ShardMap> map) {
    this.clock = clock;
    this.poller = poller;
    this.owned = owned;
    this.quarantine = quarantine;
    this.map = map;
  }

  void pollAll() {
    for (ShardId shard : List.copyOf(owned.owned())) {
      for (BackendServer server : map.get().shards().getOrDefault(shard, List.of())) {
        poll(shard, server);
      }
    }
  }

  /** Asks servers whose streams broke at once, since callers wait for the result. */
  void pollSuspected() {
    Set<BackendServerName> suspected = Set.copyOf(quarantine.suspectedServers());
    if (suspected.isEmpty()) {
      return;
    }
    for (ShardId shard : List.copyOf(owned.owned())) {
      for (BackendServer server : map.get().shards().getOrDefault(shard, List.of())) {
        if (suspected.contains(server.name()) && probed.add(server.name())) {
          poll(shard, server).onComplete(done -> probed.remove(server.name()));
        }
      }
    }
  }

  private Future<LoadReport> poll(ShardId shard, BackendServer server) {
    Instant askedAt = clock.instant();
    return poller
        .poll(server)
        .onSuccess(report -> owned.loadReport(shard, server.name(), report, askedAt))
        .onFailure(
            cause -> {
              if (cause instanceof ConnectException) {
                quarantine.refused(server.name());
              }
            });
  }
}
