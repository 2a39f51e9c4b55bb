package org.cactusseam.logic.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.ShardId;

/**
 * Assignment of backend servers to admission shards. It depends only on the configuration, so nodes
 * with the same configuration agree on it.
 *
 * @param shards servers of each shard, ordered by name
 */
public record ShardMap(Map<ShardId, List<BackendServer>> shards) {

  /**
   * Groups the backend servers of a configuration by shard. Servers of unknown failure domains
   * belong to none.
   *
   * @param configuration configuration with the assignment of each server
   * @return shards that have at least one server
   */
  public static ShardMap of(Configuration configuration) {
    Map<ShardId, List<BackendServer>> shards = new TreeMap<>();
    for (BackendServer server : configuration.all(BackendServer.class)) {
      configuration
          .shardOf(server.name())
          .ifPresent(shard -> shards.computeIfAbsent(shard, id -> new ArrayList<>()).add(server));
    }
    return new ShardMap(shards);
  }

  /**
   * Returns the shards of a pool in all regions.
   *
   * @param pool pool of backend servers
   * @return shard identities in their natural order
   */
  public List<ShardId> shardsOf(PoolName pool) {
    return shards.keySet().stream().filter(shard -> shard.pool().equals(pool)).toList();
  }
}
