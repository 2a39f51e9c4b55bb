package org.cactusseam.model.gateway;

import java.util.Optional;

/**
 * A group of interchangeable backend servers.
 *
 * @param name name in the configuration
 * @param healthPath path of the health check of its servers
 * @param connectionLimit maximum number of connections that one server accepts from all callers
 *     together
 * @param coldRequestsPerSecond requests per second that a cold server can handle; 0 for no limit
 * @param engine capabilities of its model engines; empty for plain services
 */
public record GatewayService(
    String name,
    String healthPath,
    int connectionLimit,
    double coldRequestsPerSecond,
    Optional<EngineCapabilities> engine) {}
