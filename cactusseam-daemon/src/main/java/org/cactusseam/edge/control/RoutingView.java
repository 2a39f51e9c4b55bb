package org.cactusseam.edge.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusseam.logic.membership.ShardMap;
import org.cactusseam.logic.rollout.PoolRolloutPlan;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.Route;

/**
 * Immutable view of the configuration with the indexes that are needed to serve requests. The
 * control thread publishes a new one after each change.
 */
public final class RoutingView {

  private static final int LOWEST_RANK = 9;

  /** Empty view, used until the configuration is loaded. */
  public static final RoutingView EMPTY = new RoutingView(Configuration.EMPTY);

  private final Configuration configuration;
  private final ShardMap shards;
  private final Map<String, ClientAccount> accountsByKeyHash = new HashMap<>();
  private final List<Route> routes;
  private final Set<PoolName> rolledOutPools;

  /**
   * Creates a view and builds its indexes.
   *
   * @param configuration configuration to index
   */
  public RoutingView(Configuration configuration) {
    this.configuration = configuration;
    this.shards = ShardMap.of(configuration);
    this.routes = configuration.all(Route.class);
    this.rolledOutPools =
        configuration.all(PoolRollout.class).stream()
            .filter(rollout -> !PoolRolloutPlan.stage(rollout).isFinal())
            .map(PoolRollout::pool)
            .collect(Collectors.toUnmodifiableSet());
    for (ClientAccount account : configuration.all(ClientAccount.class)) {
      account.keyHashes().forEach(hash -> accountsByKeyHash.put(hash, account));
    }
  }

  /**
   * Returns the configuration that this view was built from.
   *
   * @return configuration
   */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the rank of a priority class.
   *
   * @param name name of the class
   * @return rank; the lowest one, 9, if the class does not exist
   */
  public int rankOf(PriorityClassName name) {
    return configuration.priorityClass(name).map(PriorityClass::rank).orElse(LOWEST_RANK);
  }

  /**
   * Returns the admission shards with their servers.
   *
   * @return shards
   */
  public ShardMap shards() {
    return shards;
  }

  /**
   * Finds the client account to which an API key belongs.
   *
   * @param keyHash SHA-256 of the key in lower-case hexadecimal digits
   * @return the account, or empty if no account has the key
   */
  public Optional<ClientAccount> accountOf(String keyHash) {
    return Optional.ofNullable(accountsByKeyHash.get(keyHash));
  }

  /**
   * Finds the route of a request to a model.
   *
   * @param path path of the request
   * @param model name of the model in the body of the request
   * @return the first route that matches, or empty
   */
  public Optional<Route> modelRoute(String path, String model) {
    return routes.stream()
        .filter(route -> route.kind() == BackendKind.ENGINE)
        .filter(route -> route.path().equals(path))
        .filter(route -> route.model().map(model::equals).orElse(true))
        .findFirst();
  }

  /**
   * Finds the route of a request that is not for a model: the one with the longest path that is a
   * prefix of the request's.
   *
   * @param path path of the request
   * @return the route, or empty
   */
  public Optional<Route> plainRoute(String path) {
    return routes.stream()
        .filter(route -> route.kind() == BackendKind.PLAIN)
        .filter(route -> path.equals(route.path()) || path.startsWith(route.path() + "/"))
        .max((left, right) -> Integer.compare(left.path().length(), right.path().length()));
  }

  /**
   * Returns whether a roll-out of a pool is in progress, so that owners need the responses.
   *
   * @param pool pool of backend servers
   * @return true from the record of the command to that of a final stage
   */
  boolean isRolledOut(PoolName pool) {
    return rolledOutPools.contains(pool);
  }
}
