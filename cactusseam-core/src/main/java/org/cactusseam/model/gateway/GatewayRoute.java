package org.cactusseam.model.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Requests that are handled alike: selected by host name and path.
 *
 * @param name name in the configuration
 * @param host host name that callers address
 * @param pathPrefix beginning of the path, with a slash at both ends
 * @param repetition what may be repeated
 * @param timeout longest time between the request and its answer
 * @param targetLatency time within which an answer, or the first event of a stream, is on time
 * @param maximumEventGap longest time between two events of a stream that is on time; zero for
 *     others
 * @param rank priority, 0 is the highest
 * @param maximumRuns number of servers on which one attempt of a caller may run
 * @param open whether the route needs no key
 * @param services services that may run the requests
 * @param regions regions in which the requests may run; empty if everywhere
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
   * A service with its part of the requests of a route.
   *
   * @param service name of the service
   * @param weight part of the requests, relative to the other weights of the route
   */
  public record WeightedService(String service, int weight) {}

  /** Copies the collections. */
  public GatewayRoute {
    services = List.copyOf(services);
    regions = Set.copyOf(regions);
  }
}
