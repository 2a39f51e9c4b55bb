package org.cactusseam.model.gateway;

import java.time.Duration;

/**
 * Order of an operator to move a service's traffic to another version.
 *
 * @param service name of the service
 * @param version version that receives the traffic
 * @param duration time from the order to its deadline
 * @param id identifier from the position of the order in the store, which is higher for a later
 *     order
 */
public record RolloutOrder(String service, String version, Duration duration, long id) {}
