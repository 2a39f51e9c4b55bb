package org.cactusseam.model.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All that operators have configured, in one version.
 *
 * @param version version; a later configuration has a higher one
 * @param routes routes
 * @param services services by name
 * @param accounts client accounts; absent if requests need no key
 * @param limits limits for callers
 */
public record GatewayConfiguration(
    long version,
    List<GatewayRoute> routes,
    Map<String, GatewayService> services,
    Optional<List<GatewayAccount>> accounts,
    CallerLimits limits) {

  /** Copies the collections. */
  public GatewayConfiguration {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
    accounts = accounts.map(List::copyOf);
  }
}
