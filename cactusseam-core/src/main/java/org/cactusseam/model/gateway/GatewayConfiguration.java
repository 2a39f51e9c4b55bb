package org.cactusseam.model.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the complete configuration by operators.
 *
 * @param version version number; a later configuration has a higher one
 * @param routes routes, matched by host name and path
 * @param services services by name
 * @param accounts client accounts; empty if requests need no key
 * @param limits limits on the requests of callers
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
