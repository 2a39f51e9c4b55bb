package org.cactusseam.model;

import io.vavr.Tuple2;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Immutable view of all configuration objects with their revisions and of the assignment of backend
 * servers to shards. It uses persistent maps, so the cost of a change hardly grows with the number
 * of objects.
 */
public final class Configuration {

  /** Configuration without objects. */
  public static final Configuration EMPTY =
      new Configuration(HashMap.empty(), HashMap.empty(), HashMap.empty());

  private final Map<ObjectKey, ConfigurationObject> objects;
  private final Map<ObjectKey, Long> revisions;
  private final Map<BackendServerName, ShardId> shards;

  private Configuration(
      Map<ObjectKey, ConfigurationObject> objects,
      Map<ObjectKey, Long> revisions,
      Map<BackendServerName, ShardId> shards) {
    this.objects = objects;
    this.revisions = revisions;
    this.shards = shards;
  }

  /**
   * Returns a copy with one object added or replaced. A new backend server is assigned to the first
   * shard of its pool and region that has room, and stays there: if servers moved between shards,
   * two owners with different views could admit requests to the same server.
   *
   * @param object object to add
   * @param revision log offset of the change
   * @return changed copy
   */
  public Configuration with(ConfigurationObject object, long revision) {
    Configuration copy =
        new Configuration(
            objects.put(object.key(), object), revisions.put(object.key(), revision), shards);
    if (object instanceof BackendServer server && !isAssigned(server)) {
      return copy.assign(server);
    }
    return copy;
  }

  /**
   * Returns a copy with one object from a snapshot, which records the shard of a backend server.
   *
   * @param object object to add
   * @param revision log offset of its last change
   * @param shardIndex index of the shard of a backend server; empty for other objects
   * @return changed copy
   */
  public Configuration restored(
      ConfigurationObject object, long revision, Optional<Integer> shardIndex) {
    Map<BackendServerName, ShardId> newShards = shards;
    if (object instanceof BackendServer server && shardIndex.isPresent()) {
      RegionName region = domain(server.domain()).orElseThrow().region();
      newShards =
          newShards.put(server.name(), new ShardId(server.pool(), region, shardIndex.get()));
    }
    return new Configuration(
        objects.put(object.key(), object), revisions.put(object.key(), revision), newShards);
  }

  private boolean isAssigned(BackendServer server) {
    return lastKnownShard(server.name()).map(shard -> isShardOf(shard, server)).orElse(false);
  }

  private boolean isShardOf(ShardId shard, BackendServer server) {
    Optional<RegionName> region = domain(server.domain()).map(FailureDomain::region);
    return shard.pool().equals(server.pool()) && Optional.of(shard.region()).equals(region);
  }

  /**
   * Tells whether a backend server, if it is added or changed, stays in the shard that it has or
   * had before its removal, as long as the removal is remembered. If it moved, two owners with
   * different views could admit requests to it.
   *
   * @param server backend server to add or change
   * @return true if it is new, keeps its shard, or returns to a shard that has room
   */
  public boolean mayPlace(BackendServer server) {
    Optional<ShardId> shard = lastKnownShard(server.name());
    return shard.isEmpty()
        || find(server.key()).isPresent() && isShardOf(shard.get(), server)
        || isShardOf(shard.get(), server) && hasRoom(shard.get());
  }

  private boolean hasRoom(ShardId shard) {
    int used = 0;
    for (Tuple2<BackendServerName, ShardId> assignment : shards) {
      used += assignment._2.equals(shard) && server(assignment._1).isPresent() ? 1 : 0;
    }
    return used < ShardId.MAXIMUM_SERVERS;
  }

  private Configuration assign(BackendServer server) {
    Optional<FailureDomain> domain = domain(server.domain());
    if (domain.isEmpty()) {
      return this;
    }
    java.util.Map<Integer, Integer> used = new java.util.HashMap<>();
    for (Tuple2<BackendServerName, ShardId> assignment : shards) {
      if (isShardOf(assignment._2, server) && server(assignment._1).isPresent()) {
        used.merge(assignment._2.index(), 1, Integer::sum);
      }
    }
    int index = 0;
    while (used.getOrDefault(index, 0) >= ShardId.MAXIMUM_SERVERS) {
      index++;
    }
    ShardId shard = new ShardId(server.pool(), domain.get().region(), index);
    return new Configuration(objects, revisions, shards.put(server.name(), shard));
  }

  /**
   * Returns a copy without one object. The revision of the removal is remembered, and for a backend
   * server its shard.
   *
   * @param key identity of the object
   * @param revision log offset of the removal
   * @return changed copy
   */
  public Configuration without(ObjectKey key, long revision) {
    return new Configuration(objects.remove(key), revisions.put(key, revision), shards);
  }

  /**
   * Returns a copy with a removed object from a snapshot.
   *
   * @param key identity of an object that does not exist
   * @param revision log offset of the removal
   * @param shard shard that a backend server had; empty for other objects
   * @return changed copy
   */
  public Configuration restoredRemoval(ObjectKey key, long revision, Optional<ShardId> shard) {
    Map<BackendServerName, ShardId> newShards =
        shard.isPresent() ? shards.put(new BackendServerName(key.name()), shard.get()) : shards;
    return new Configuration(objects, revisions.put(key, revision), newShards);
  }

  /**
   * Returns a copy that no longer remembers a removed object.
   *
   * @param key identity of an object that does not exist
   * @return changed copy
   */
  public Configuration withoutTombstone(ObjectKey key) {
    Map<BackendServerName, ShardId> newShards =
        key.kind() == ObjectKind.BACKEND_SERVER
            ? shards.remove(new BackendServerName(key.name()))
            : shards;
    return new Configuration(objects, revisions.remove(key), newShards);
  }

  /**
   * Returns the shard that a backend server has, or had before its removal.
   *
   * @param server name of the server
   * @return shard, or empty if the server is unknown
   */
  public Optional<ShardId> lastKnownShard(BackendServerName server) {
    return shards.get(server).toJavaOptional();
  }

  /**
   * Returns the shard of a backend server.
   *
   * @param server name of the server
   * @return shard, or empty if the server does not exist
   */
  public Optional<ShardId> shardOf(BackendServerName server) {
    return server(server).isPresent() ? lastKnownShard(server) : Optional.empty();
  }

  /**
   * Tells whether any object of a type meets a condition. Unlike {@link #all} it does not sort.
   *
   * @param type record type
   * @param condition predicate on the object
   * @param <T> record type
   * @return true if at least one object meets the condition
   */
  public <T extends ConfigurationObject> boolean anyMatch(Class<T> type, Predicate<T> condition) {
    for (ConfigurationObject object : objects.values()) {
      if (type.isInstance(object) && condition.test(type.cast(object))) {
        return true;
      }
    }
    return false;
  }

  /**
   * Looks up an object.
   *
   * @param key identity of the object
   * @return object, or empty if it does not exist
   */
  public Optional<ConfigurationObject> find(ObjectKey key) {
    return objects.get(key).toJavaOptional();
  }

  /**
   * Returns the log offset of the last change of an object, which may be its removal.
   *
   * @param key identity of the object
   * @return log offset, or empty if the object and its removal are unknown
   */
  public OptionalLong revision(ObjectKey key) {
    return revisions.get(key).map(OptionalLong::of).getOrElse(OptionalLong.empty());
  }

  /**
   * Returns all objects of a type, ordered by name.
   *
   * @param type record type
   * @param <T> record type
   * @return objects of the type
   */
  public <T extends ConfigurationObject> List<T> all(Class<T> type) {
    return objects
        .values()
        .toJavaStream()
        .filter(type::isInstance)
        .map(type::cast)
        .sorted((left, right) -> left.key().compareTo(right.key()))
        .toList();
  }

  /**
   * Looks up a client account.
   *
   * @param name name of the account
   * @return account, or empty if it does not exist
   */
  public Optional<ClientAccount> account(AccountName name) {
    return find(new ObjectKey(ObjectKind.ACCOUNT, name.value())).map(ClientAccount.class::cast);
  }

  /**
   * Looks up a priority class.
   *
   * @param name name of the class
   * @return priority class, or empty if it does not exist
   */
  public Optional<PriorityClass> priorityClass(PriorityClassName name) {
    return find(new ObjectKey(ObjectKind.PRIORITY_CLASS, name.value()))
        .map(PriorityClass.class::cast);
  }

  /**
   * Looks up a route.
   *
   * @param name name of the route
   * @return route, or empty if it does not exist
   */
  public Optional<Route> route(RouteName name) {
    return find(new ObjectKey(ObjectKind.ROUTE, name.value())).map(Route.class::cast);
  }

  /**
   * Looks up a failure domain.
   *
   * @param name name of the failure domain
   * @return failure domain, or empty if it does not exist
   */
  public Optional<FailureDomain> domain(FailureDomainName name) {
    return find(new ObjectKey(ObjectKind.FAILURE_DOMAIN, name.value()))
        .map(FailureDomain.class::cast);
  }

  /**
   * Looks up a backend server.
   *
   * @param name name of the server
   * @return backend server, or empty if it does not exist
   */
  public Optional<BackendServer> server(BackendServerName name) {
    return find(new ObjectKey(ObjectKind.BACKEND_SERVER, name.value()))
        .map(BackendServer.class::cast);
  }

  /**
   * Looks up the latest roll-out of a pool.
   *
   * @param pool name of the pool
   * @return roll-out, or empty if no command for the pool was recorded
   */
  public Optional<PoolRollout> rollout(PoolName pool) {
    return find(PoolRollout.keyOf(pool)).map(PoolRollout.class::cast);
  }

  /**
   * Tells whether new work may be sent to a backend server, according to its own service state and
   * that of its failure domain.
   *
   * @param server backend server
   * @return true if both are in service
   */
  public boolean isInService(BackendServer server) {
    return server.state() == ServiceState.IN
        && domain(server.domain()).map(domain -> domain.state() == ServiceState.IN).orElse(false);
  }
}
