package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cactusseam.model.gateway.CallerLimits;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.EngineCapabilities;
import org.cactusseam.model.gateway.EngineReport;
import org.cactusseam.model.gateway.GatewayAccount;
import org.cactusseam.model.gateway.GatewayConfiguration;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.RepeatPolicy;
import org.cactusseam.model.gateway.ServerInstance;

/** Test data shared by the tests of the gateway. */
final class GatewayFixtures {

  static final GatewayService ENGINES =
      new GatewayService(
          "engines", "/healthz", 100, 0, Optional.of(new EngineCapabilities(24, 30_000, true)));

  static final GatewayService PLAIN =
      new GatewayService("plain", "/healthz", 100, 0, Optional.empty());

  private GatewayFixtures() {}

  static ServerInstance server(String id, String service, String failureDomain) {
    return new ServerInstance(
        id, 1, service, "127.0.0.1", 8_000, failureDomain, 24, false, Duration.ZERO, "v1");
  }

  static EngineReport report(int memoryUsed) {
    return new EngineReport(Optional.empty(), false, memoryUsed, 30_000, Map.of());
  }

  static ServerInstance leaving(ServerInstance server) {
    return new ServerInstance(
        server.id(),
        server.startedAtMillis(),
        server.service(),
        server.host(),
        server.port(),
        server.failureDomain(),
        server.slots(),
        true,
        server.coldFor(),
        server.version());
  }

  static ServerInstance restarted(ServerInstance server) {
    return new ServerInstance(
        server.id(),
        server.startedAtMillis() + 1,
        server.service(),
        server.host(),
        server.port(),
        server.failureDomain(),
        server.slots(),
        false,
        server.coldFor(),
        server.version());
  }

  static GatewayRoute route(String name, String prefix, boolean open) {
    return new GatewayRoute(
        name,
        "salon.example",
        prefix,
        RepeatPolicy.REPEATABLE,
        Duration.ofSeconds(2),
        Duration.ofMillis(400),
        Duration.ZERO,
        1,
        2,
        open,
        List.of(new GatewayRoute.WeightedService("plain", 1)),
        Set.of());
  }

  static GatewayConfiguration configuration(long version, GatewayRoute... routes) {
    return new GatewayConfiguration(
        version,
        List.of(routes),
        Map.of("plain", PLAIN, "engines", ENGINES),
        Optional.of(
            List.of(
                new GatewayAccount(
                    "salon-nord", Set.of("key-1", "key-2"), OptionalInt.empty(), Set.of()))),
        CallerLimits.INITIAL);
  }

  static CallerRequest request(String host, String path, Optional<String> key) {
    return new CallerRequest(
        "attempt-1",
        host,
        path,
        Optional.empty(),
        key,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        List.of());
  }
}
