package org.cactusseam.edge.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusseam.edge.backend.LoadPoller;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ShardId;

/** Reads events of the prefix caches of engines in owned shards. Confined to the control thread. */
final class CacheEventReader {

  private final LoadPoller poller;
  private final OwnedShards owned;
  private final Map<BackendServerName, Position> positions = new HashMap<>();

  /** Next event to read in one run of an engine. */
  private record Position(String incarnation, long next) {

    static final Position START = new Position("", 0);
  }

  CacheEventReader(LoadPoller poller, OwnedShards owned) {
    this.poller = poller;
    this.owned = owned;
  }

  /**
   * Asks the servers of a shard.
   *
   * @param shard shard that this daemon owns
   * @param servers servers of the shard
   */
  void poll(ShardId shard, List<BackendServer> servers) {
    for (BackendServer server : servers) {
      if (server.kind() == BackendKind.ENGINE) {
        pollEvents(shard, server);
      }
    }
  }

  private void pollEvents(ShardId shard, BackendServer server) {
    Position position = positions.getOrDefault(server.name(), Position.START);
    poller
        .fetchCacheEvents(server, position.next)
        .onSuccess(events -> events.forEach(event -> apply(shard, server.name(), event)));
  }

  /** An event of another run than before starts the numbers again from what that run published. */
  private void apply(ShardId shard, BackendServerName server, LoadPoller.CacheEvent event) {
    Position position = positions.getOrDefault(server, Position.START);
    boolean sameRun = position.incarnation.equals(event.incarnation());
    if (!sameRun || event.number() >= position.next) {
      positions.put(server, new Position(event.incarnation(), event.number() + 1));
      owned.cacheEvent(shard, server, event.number(), event.stored(), event.prefix());
    }
  }
}
