package org.cactusseam.model;

import java.util.Optional;

/**
 * Maps requests of callers to a pool of backend servers and defines whether they are repeatable.
 *
 * @param name name of the route
 * @param path URL path of the caller's request; a plain route also matches every path below it
 * @param model model named in the request body; empty for plain routes
 * @param pool pool that serves the route
 * @param kind protocol of the pool
 * @param repeatable whether a request may be executed more than once
 * @param deadlineMillis default deadline of requests without one, in milliseconds after arrival
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

  /** Rejects a relative path and a deadline that is not positive. */
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
