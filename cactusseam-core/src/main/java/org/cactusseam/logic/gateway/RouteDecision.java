package org.cactusseam.logic.gateway;

import java.util.Optional;
import org.cactusseam.model.gateway.GatewayAccount;
import org.cactusseam.model.gateway.GatewayRoute;

/** Result of looking up a request in the configuration. */
public sealed interface RouteDecision {

  /**
   * The request may be forwarded.
   *
   * @param route route of the request
   * @param account client account, if the request has a known key
   */
  record Accepted(GatewayRoute route, Optional<GatewayAccount> account) implements RouteDecision {}

  /** No configuration has been received yet. */
  record NotConfigured() implements RouteDecision {}

  /** No route matches the host and path. */
  record NoRoute() implements RouteDecision {}

  /** The route requires a key, and the request has no known one. */
  record UnknownKey() implements RouteDecision {}
}
