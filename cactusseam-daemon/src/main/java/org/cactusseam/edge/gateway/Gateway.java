package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.edge.backend.BackendConnections;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.EngineReports;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.logic.gateway.RequestQueue;
import org.cactusseam.logic.gateway.RouteTable;
import org.cactusseam.logic.gateway.ServerHealth;
import org.cactusseam.logic.gateway.ServerLoads;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.logic.gateway.ServerTable;
import org.cactusseam.logic.gateway.SharedRetryBudget;
import org.cactusseam.model.gateway.ServerInstance;

/** State of a gateway that its requests share. Confined to the event loop. */
public final class Gateway {

  private static final StructuredLog LOG = StructuredLog.of(Gateway.class);

  /** Time before the platform's kill at which the process ends by itself. */
  private static final Duration END_MARGIN = Duration.ofMillis(300);

  private final Vertx vertx;
  private final Clock clock;
  private final GatewaySettings settings;
  private final HeaderCodec translation;
  private final EngineClient engines;
  private final HttpClient client;
  private final RouteTable routes = new RouteTable();
  private final ServerTable servers = new ServerTable();
  private final ServerLoads loads = new ServerLoads();
  private final ServerHealth health = new ServerHealth();
  private final LeavingServers departures = new LeavingServers();
  private final EngineReports reports = new EngineReports();
  private final ServerSelector placement;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
  private final Map<String, RequestQueue<Exchange>> waiting = new HashMap<>();
  private final Set<Exchange> active = new LinkedHashSet<>();
  private int vms = 1;
  private Optional<Instant> drainingSince = Optional.empty();

  /**
   * Creates a gateway without configuration and servers.
   *
   * @param vertx event loop
   * @param clock time
   * @param settings settings
   * @param translation names of the platform
   * @param engines calls to model engines
   */
  public Gateway(
      Vertx vertx,
      Clock clock,
      GatewaySettings settings,
      HeaderCodec translation,
      EngineClient engines) {
    this.vertx = vertx;
    this.clock = clock;
    this.settings = settings;
    this.translation = translation;
    this.engines = engines;
    this.client = BackendConnections.createClient(vertx);
    this.placement =
        new ServerSelector(
            clock,
            settings.location(),
            servers,
            loads,
            health,
            departures,
            reports,
            settings.coldTolerance());
  }

  Vertx vertx() {
    return vertx;
  }

  Clock clock() {
    return clock;
  }

  GatewaySettings settings() {
    return settings;
  }

  HeaderCodec translation() {
    return translation;
  }

  EngineClient engines() {
    return engines;
  }

  HttpClient client() {
    return client;
  }

  RouteTable routes() {
    return routes;
  }

  ServerTable servers() {
    return servers;
  }

  ServerLoads loads() {
    return loads;
  }

  LeavingServers departures() {
    return departures;
  }

  EngineReports reports() {
    return reports;
  }

  /**
   * Takes it that a server leaves.
   *
   * @return whether this was not known
   */
  boolean recordDeparture(ServerInstance server, LeavingServers.Source sign) {
    boolean isNew = departures.markLeaving(server.id(), sign, clock.instant());
    if (isNew) {
      LOG.info("server_leaving", field("server", server.id()), field("how", sign));
      // The time for copies is shorter than they take together: none of it is left to the timer.
      vertx.runOnContext(ignored -> active().forEach(each -> each.tick(clock.instant())));
    }
    return isNew;
  }

  /** Forgets what is known of a process whose identity another one has now. */
  void startedAgain(ServerInstance server) {
    health.forget(server.id());
    departures.clear(server.id());
    reports.forget(server.id());
  }

  ServerHealth health() {
    return health;
  }

  ServerSelector placement() {
    return placement;
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  SharedRetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        name ->
            new SharedRetryBudget(
                settings.retryWindow(), settings.retryRatio(), settings.retryAllowance()));
  }

  boolean tryRetry(String service) {
    return budget(service).tryRetry(vms, clock.instant());
  }

  RequestQueue<Exchange> waiting(String service) {
    return waiting.computeIfAbsent(service, name -> new RequestQueue<>());
  }

  /** Offers free places to the requests that wait. */
  void offerPlaces() {
    for (RequestQueue<Exchange> line : List.copyOf(waiting.values())) {
      line.startWaiting(Exchange::tryStart);
    }
  }

  void add(Exchange exchange) {
    active.add(exchange);
  }

  void remove(Exchange exchange) {
    active.remove(exchange);
  }

  List<Exchange> active() {
    return List.copyOf(active);
  }

  /**
   * Sets the number of gateways that share the limits.
   *
   * @param number number of gateways, this one included
   */
  void setVmCount(int number) {
    vms = Math.max(1, number);
    placement.setVmCount(vms);
  }

  boolean isDraining() {
    return drainingSince.isPresent();
  }

  void drain() {
    drainingSince = Optional.of(clock.instant());
  }

  /** Returns the time since the signal to stop, zero without one. */
  Duration drainingFor() {
    return drainingSince
        .map(since -> Duration.between(since, clock.instant()))
        .orElse(Duration.ZERO);
  }

  /** Returns the time until the process ends by itself, counted from the signal to stop. */
  Duration timeUntilEnd() {
    return settings.shutdownGrace().minus(END_MARGIN).minus(drainingFor());
  }

  /**
   * Returns whether callers can be served: a configuration and at least one server are known.
   *
   * @return readiness
   */
  boolean isReady() {
    return !isDraining() && routes.version().isPresent() && !servers.all().isEmpty();
  }
}
