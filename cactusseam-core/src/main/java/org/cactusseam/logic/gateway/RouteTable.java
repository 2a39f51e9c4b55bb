package org.cactusseam.logic.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.gateway.CallerLimits;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.GatewayAccount;
import org.cactusseam.model.gateway.GatewayConfiguration;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.GatewayService;
import org.jspecify.annotations.Nullable;

/**
 * Current configuration, indexed for the lookup of requests. Configurations with an older version
 * are ignored, because records can arrive late or from a peer that lags behind.
 */
public final class RouteTable {

  private final Map<String, List<GatewayRoute>> routesByHost = new HashMap<>();
  private final Map<String, GatewayAccount> accountsByKey = new HashMap<>();
  private @Nullable GatewayConfiguration current;

  /**
   * Applies a configuration if it is newer than the current one.
   *
   * @return whether it was applied
   */
  public boolean apply(GatewayConfiguration configuration) {
    if (current != null && configuration.version() <= current.version()) {
      return false;
    }
    current = configuration;
    routesByHost.clear();
    for (GatewayRoute route : configuration.routes()) {
      routesByHost
          .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
          .add(route);
    }
    Comparator<GatewayRoute> longestPrefixFirst =
        Comparator.comparingInt((GatewayRoute route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(routes -> routes.sort(longestPrefixFirst));
    accountsByKey.clear();
    for (GatewayAccount account : configuration.accounts().orElse(List.of())) {
      account.keys().forEach(key -> accountsByKey.put(key, account));
    }
    return true;
  }

  /**
   * Finds the route and the client account of a request.
   *
   * @return route and account, or the reason why the request is not accepted
   */
  public RouteDecision decide(CallerRequest request) {
    if (current == null) {
      return new RouteDecision.NotConfigured();
    }
    Optional<GatewayRoute> route = route(request.host(), request.path());
    if (route.isEmpty()) {
      return new RouteDecision.NoRoute();
    }
    Optional<GatewayAccount> account =
        request.key().map(accountsByKey::get).filter(found -> found != null);
    if (account.isEmpty() && current.accounts().isPresent() && !route.get().open()) {
      return new RouteDecision.UnknownKey();
    }
    return new RouteDecision.Accepted(route.get(), account);
  }

  private Optional<GatewayRoute> route(String host, String path) {
    return routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /**
   * Returns the version of the current configuration.
   *
   * @return version; empty before the first configuration
   */
  public Optional<Long> version() {
    return Optional.ofNullable(current).map(GatewayConfiguration::version);
  }

  /**
   * Returns a service by name.
   *
   * @return service, or empty if it is not configured
   */
  public Optional<GatewayService> service(String name) {
    return Optional.ofNullable(current).map(known -> known.services().get(name));
  }

  /** Returns whether a route of this name is configured. */
  public boolean hasRoute(String name) {
    return current != null
        && current.routes().stream().anyMatch(route -> route.name().equals(name));
  }

  /**
   * Returns all configured services.
   *
   * @return services; empty before the first configuration
   */
  public List<GatewayService> services() {
    return current == null ? List.of() : List.copyOf(current.services().values());
  }

  /**
   * Returns the limits for callers; those of the current configuration or, before the first one,
   * the initial limits.
   */
  public CallerLimits limits() {
    return current == null ? CallerLimits.INITIAL : current.limits();
  }
}
