package org.cactusseam.edge.caller;

import io.vertx.core.Vertx;
import java.time.Clock;
import java.util.function.Supplier;
import org.cactusseam.edge.control.AdmissionClient;
import org.cactusseam.edge.control.ClaimClient;
import org.cactusseam.edge.control.RoutingView;
import org.cactusseam.edge.control.ShardLoads;
import org.cactusseam.edge.metrics.RequestMetrics;
import org.cactusseam.edge.settings.Settings;

/**
 * Services of the daemon that the handlers of callers' requests use.
 *
 * @param vertx Vert.x instance whose event loops run the handlers
 * @param clock source of the current time
 * @param settings settings of this daemon
 * @param view returns the current configuration for routing
 * @param admission requests permits and reports how attempts end
 * @param loads loads that the owners of shards have reported
 * @param claims claims for requests that must not run twice
 * @param active registry of the requests in progress
 * @param ids generator of request and attempt ids
 * @param metrics metrics that the handlers record
 */
public record CallerServices(
    Vertx vertx,
    Clock clock,
    Settings settings,
    Supplier<RoutingView> view,
    AdmissionClient admission,
    ShardLoads loads,
    ClaimClient claims,
    ActiveRequests active,
    RequestIdGenerator ids,
    RequestMetrics metrics) {

  byte[] clusterKey() {
    return settings.keys().cluster().bytes();
  }
}
