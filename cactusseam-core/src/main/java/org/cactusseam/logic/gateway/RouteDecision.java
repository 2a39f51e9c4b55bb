package org.cactusseam.logic.gateway;

import java.util.Optional;
import org.cactusseam.model.gateway.GatewayAccount;
import org.cactusseam.model.gateway.GatewayRoute;

/** What the configuration says of a request. */
public sealed interface RouteDecision {

  /**
   * The request may be forwarded.
   *
   * @param route its route
   * @param account its client account, if it has a key
   */
  record Accepted(GatewayRoute route, Optional<GatewayAccount> account) implements RouteDecision {}

  /** No configuration is known yet. */
  record NotConfigured() implements RouteDecision {}

  /** No route matches host and path. */
  record NoRoute() implements RouteDecision {}

  /** The route needs a key and the request has none that is known. */
  record UnknownKey() implements RouteDecision {}
}
