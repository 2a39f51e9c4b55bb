package org.cactusseam.logic.hedging;

import java.time.Duration;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.logic.gateway.SharedRetryBudget;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * A request whose first attempt may need a second one, and the state of its service.
 *
 * @param route name of the route
 * @param targetLatency time within which a response of the route counts as on time
 * @param requirements requirements of the request for its server
 * @param server server of the first attempt
 * @param age time since the first attempt was sent
 * @param remaining time until the deadline of the request
 * @param lateness time by which the timer of the decision fired later than it was set
 * @param isDraining whether the gateway drains
 * @param waiting number of requests that wait for a server of the service
 * @param retryBudget retry budget of the service
 * @param vms number of VMs that share the allowance of the budget
 */
public record SlowRequest(
    String route,
    Duration targetLatency,
    ServerSelector.Requirements requirements,
    ServerInstance server,
    Duration age,
    Duration remaining,
    Duration lateness,
    boolean isDraining,
    int waiting,
    SharedRetryBudget retryBudget,
    int vms) {}
