package org.cactusseam.edge.caller;

import java.time.Instant;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Route;

/**
 * Facts about a caller's request that are known after authentication and routing.
 *
 * @param id id of the request, unique in the deployment
 * @param account client account that sent the request
 * @param route route that serves the request
 * @param arrival time of arrival
 * @param deadline time by which the response has to begin
 * @param fingerprint SHA-256 of account, route and body; equal for repeats of a request
 */
record RequestInfo(
    String id,
    ClientAccount account,
    Route route,
    Instant arrival,
    Instant deadline,
    String fingerprint) {}
