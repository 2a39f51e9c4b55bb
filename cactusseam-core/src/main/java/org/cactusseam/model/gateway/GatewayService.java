package org.cactusseam.model.gateway;

import java.util.Optional;

/**
 * A group of backend servers that run the same requests.
 *
 * @param name name in the configuration
 * @param healthPath path of the health check of its servers
 * @param connectionLimit connections that one server accepts from all callers together
 * @param coldRequestsPerSecond requests that a cold server bears in a second; 0 if there is no
 *     limit
 * @param engine traits of its engines, absent for plain services
 */
public record GatewayService(
    String name,
    String healthPath,
    int connectionLimit,
    double coldRequestsPerSecond,
    Optional<EngineCapabilities> engine) {}
