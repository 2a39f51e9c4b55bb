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
 * What the handlers of callers' requests need from the rest of the daemon.
 *
 * @param vertx event loops
 * @param clock source of time
 * @param settings settings
 * @param view current configuration
 * @param admission admission
 * @param loads loads of the shards
 * @param claims claims of requests that must not run twice
 * @param active requests that are served
 * @param ids source of identities
 * @param metrics metrics of requests
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
