package org.cactusseam.model.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A route: selects requests by host name and path, and defines how they are handled.
 *
 * @param name name in the configuration
 * @param host host name that callers address
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param repetition whether requests may run again, and whether the response is a stream
 * @param timeout maximum time between the request and its response
 * @param targetLatency time within which a response, or the first event of a stream, counts as on
 *     time
 * @param maximumEventGap maximum time between two events of a stream that counts as on time; zero
 *     for other routes
 * @param rank priority, 0 is the highest
 * @param maximumRuns maximum number of servers on which one attempt of a caller may run
 * @param open whether requests need no key
 * @param services services that may run the requests
 * @param regions regions in which the requests may run; empty if all are allowed
 */
public record GatewayRoute(
    String name,
    String host,
    String pathPrefix,
    RepeatPolicy repetition,
    Duration timeout,
    Duration targetLatency,
    Duration maximumEventGap,
    int rank,
    int maximumRuns,
    boolean open,
    List<WeightedService> services,
    Set<String> regions) {

  /**
   * A service with its share of the requests of a route.
   *
   * @param service name of the service
   * @param weight share of the requests, relative to the other weights of the route
   */
  public record WeightedService(String service, int weight) {}

  /** Copies the collections. */
  public GatewayRoute {
    services = List.copyOf(services);
    regions = Set.copyOf(regions);
  }
}
