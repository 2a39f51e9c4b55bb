package org.cactusseam.edge.caller;

import java.time.Instant;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Route;

/**
 * A caller's request after authentication and routing.
 *
 * @param id identity, unique in the deployment
 * @param account client account
 * @param route route
 * @param arrival when it arrived
 * @param deadline when its answer has to begin
 * @param fingerprint hash of account, route and body
 */
record RequestInfo(
    String id,
    ClientAccount account,
    Route route,
    Instant arrival,
    Instant deadline,
    String fingerprint) {}
