package org.cactusseam.edge.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusseam.edge.backend.LoadPoller;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ShardId;

/**
 * Polls the prefix cache events of the engines in owned shards and passes them to admission, which
 * prefers engines that have the prefix of a prompt cached. Confined to the control thread.
 */
final class CacheEventReader {

  private final LoadPoller poller;
  private final OwnedShards owned;
  private final Map<BackendServerName, Position> positions = new HashMap<>();

  /** Number of the next event to read from one incarnation of an engine. */
  private record Position(String incarnation, long nextNumber) {

    static final Position INITIAL = new Position("", 0);
  }

  CacheEventReader(LoadPoller poller, OwnedShards owned) {
    this.poller = poller;
    this.owned = owned;
  }

  /**
   * Polls the engines of a shard for events that were not read yet.
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
    Position position = positions.getOrDefault(server.name(), Position.INITIAL);
    poller
        .fetchCacheEvents(server, position.nextNumber)
        .onSuccess(events -> events.forEach(event -> applyEvent(shard, server.name(), event)));
  }

  /**
   * Passes on an event that was not seen before. Each incarnation of an engine numbers its events
   * anew, so an event of another incarnation is always new.
   */
  private void applyEvent(ShardId shard, BackendServerName server, LoadPoller.CacheEvent event) {
    Position position = positions.getOrDefault(server, Position.INITIAL);
    boolean sameIncarnation = position.incarnation.equals(event.incarnation());
    if (!sameIncarnation || event.number() >= position.nextNumber) {
      positions.put(server, new Position(event.incarnation(), event.number() + 1));
      owned.onCacheEvent(shard, server, event.number(), event.stored(), event.prefix());
    }
  }
}
