package org.cactusseam.model;

import java.util.Optional;

/**
 * A way from callers to a pool, with the rule on whether its requests may be repeated.
 *
 * @param name name
 * @param path path of the caller's request; a plain route also takes every path below it
 * @param model model named in the request body; empty for plain routes
 * @param pool pool that serves the route
 * @param kind protocol of the pool
 * @param repeatable whether a request may run more than once
 * @param deadlineMillis deadline of requests that state none, in milliseconds
 */
public record Route(
    RouteName name,
    String path,
    Optional<String> model,
    PoolName pool,
    BackendKind kind,
    boolean repeatable,
    int deadlineMillis)
    implements ConfigurationObject {

  /** Checks path and deadline. */
  public Route {
    if (!path.startsWith("/")) {
      throw new IllegalArgumentException("path must start with '/': " + path);
    }
    if (deadlineMillis <= 0) {
      throw new IllegalArgumentException("deadline must be positive: " + deadlineMillis);
    }
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.ROUTE, name.value());
  }
}
