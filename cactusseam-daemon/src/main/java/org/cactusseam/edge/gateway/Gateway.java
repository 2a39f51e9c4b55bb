package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;
import static org.cactusseam.model.gateway.HedgingSettings.DEFAULT_EXTRA_SHARE;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import org.cactusseam.edge.backend.BackendConnections;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.EngineReports;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.logic.gateway.ProcessPauses;
import org.cactusseam.logic.gateway.RequestQueue;
import org.cactusseam.logic.gateway.RouteTable;
import org.cactusseam.logic.gateway.ServerHealth;
import org.cactusseam.logic.gateway.ServerLoads;
import org.cactusseam.logic.gateway.ServerPaces;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.logic.gateway.ServerTable;
import org.cactusseam.logic.gateway.SharedRetryBudget;
import org.cactusseam.logic.gateway.SharerCount;
import org.cactusseam.logic.hedging.HedgingPolicy;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.ServerPace;
import org.cactusseam.model.gateway.ServerReply;

/** State that all requests of a gateway share. Confined to the event loop. */
public final class Gateway {

  private static final StructuredLog LOG = StructuredLog.of(Gateway.class);

  /** The process exits this long before the platform would kill it. */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(300);

  private final Vertx vertx;
  private final Clock clock;
  private final GatewaySettings settings;
  private final HeaderCodec headerCodec;
  private final EngineClient engineClient;
  private final HttpClient client;
  private final RequestQuarantine quarantine;
  private final RouteTable routes = new RouteTable();
  private final ServerTable servers = new ServerTable();
  private final ServerLoads loads = new ServerLoads();
  private final ServerPaces paces = new ServerPaces();
  private final ServerHealth health = new ServerHealth();
  private final LeavingServers leavingServers = new LeavingServers();
  private final EngineReports reports = new EngineReports();
  private final ServerSelector serverSelector;
  private final Rollouts rollouts;
  private final StreamOrigins streamOrigins;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();
  private final Map<String, RequestQueue<Exchange>> queues = new HashMap<>();
  private final Set<Exchange> active = new LinkedHashSet<>();
  private final RequestHedging hedging;
  private final Instant startedAt;
  private final ProcessPauses pauses;
  private final SharerCount sharerCount;
  private Consumer<ServerInstance> departureListener = server -> {};
  private int vmCount = 1;
  private int pendingWrites;
  private Optional<Instant> drainingSince = Optional.empty();

  /**
   * Creates a gateway without a configuration and without servers.
   *
   * @param vertx instance whose event loop owns the state
   * @param clock time source
   * @param settings settings of this process
   * @param headerCodec codec of the platform's headers
   * @param engineClient client of the model engines
   */
  public Gateway(
      Vertx vertx,
      Clock clock,
      GatewaySettings settings,
      HeaderCodec headerCodec,
      EngineClient engineClient) {
    this.vertx = vertx;
    this.clock = clock;
    this.startedAt = clock.instant();
    this.pauses = new ProcessPauses(startedAt);
    this.sharerCount = new SharerCount(startedAt);
    this.settings = settings;
    this.headerCodec = headerCodec;
    this.engineClient = engineClient;
    this.client = BackendConnections.createClient(vertx);
    this.quarantine =
        new RequestQuarantine(vertx, clock, settings.node(), leavingServers::isLeaving);
    // Runs after the current callback, because ending a request changes the collections in use.
    quarantine.setOnConviction(
        () -> vertx.runOnContext(ignored -> active().forEach(Exchange::endIfQuarantined)));
    this.serverSelector =
        new ServerSelector(
            clock,
            settings.location(),
            servers,
            loads,
            paces,
            health,
            leavingServers,
            reports,
            settings.coldTolerance());
    this.hedging =
        new RequestHedging(
            this,
            new HedgingPolicy(
                settings.retryWindow(),
                settings.features().hedging().extraShare().orElse(DEFAULT_EXTRA_SHARE),
                startedAt,
                servers,
                serverSelector));
    this.rollouts = new Rollouts(this, pauses);
    this.streamOrigins = new StreamOrigins(this);
    setVmCount(1);
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

  HeaderCodec headerCodec() {
    return headerCodec;
  }

  EngineClient engineClient() {
    return engineClient;
  }

  HttpClient client() {
    return client;
  }

  RequestQuarantine quarantine() {
    return quarantine;
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

  ServerPaces paces() {
    return paces;
  }

  /**
   * Decodes the head of a server's response, and records its statements about the server: its pace,
   * and whether it leaves.
   *
   * @param attemptId identifier of the attempt that was sent
   * @param server server to which it was sent
   * @param sentAt time at which it was sent
   */
  ServerReply decodeReply(
      HttpClientResponse response, String attemptId, ServerInstance server, Instant sentAt) {
    ServerReply reply =
        headerCodec.decode(response.statusCode(), response.headers(), attemptId, server.id());
    reply
        .paceOfServer()
        .filter(pace -> isMeasurable(server, sentAt))
        .ifPresent(pace -> paces.recordStatement(server.id(), pace, clock.instant()));
    if (reply.serverLeaves() && recordStatedDeparture(server)) {
      departureListener.accept(server);
    }
    return reply;
  }

  /**
   * Records that a server has stated in an answer, to this gateway or another one, that it leaves.
   * A server that does not state its start cannot be told from its successor; its statement counts
   * no more than a report.
   *
   * @return whether this was not known before
   */
  boolean recordStatedDeparture(ServerInstance server) {
    boolean isReplaced =
        servers.find(server.id()).filter(listed -> !listed.isSameProcess(server)).isPresent();
    return !isReplaced
        && recordDeparture(
            server,
            server.startedAtMillis() > 0
                ? LeavingServers.Source.STATED
                : LeavingServers.Source.REPORTED);
  }

  /** Sets the receiver of servers that have stated to this gateway that they leave. */
  void setDepartureListener(Consumer<ServerInstance> listener) {
    departureListener = listener;
  }

  /** Returns whether the response to an attempt tells how long work takes at a server now. */
  private boolean isMeasurable(ServerInstance server, Instant sentAt) {
    return !pauses.isAffected(sentAt, clock.instant())
        && paces.isOfCurrentProcess(server.id(), sentAt);
  }

  /** Detects a pause of this process, such as a freeze of its machine. */
  void checkPause(Instant now) {
    pauses
        .tick(now)
        .ifPresent(gap -> LOG.info("process_paused", field("duration_ms", gap.toMillis())));
  }

  /**
   * Records the duration of a request that a server has answered with success, at a service whose
   * servers state their pace.
   */
  void recordDuration(
      ServerInstance server, GatewayRoute route, Instant sentAt, Optional<ServerPace> stated) {
    boolean isPaced = routes.service(server.service()).filter(serverSelector::isPaced).isPresent();
    if (!isPaced || !isMeasurable(server, sentAt)) {
      return;
    }
    Instant now = clock.instant();
    Duration duration = Duration.between(sentAt, now);
    boolean isOwnRegion = settings.location().isOwnRegion(server.failureDomain());
    if (paces.recordDuration(
        server.id(), new ServerPaces.Work(route.name(), isOwnRegion), duration, stated, now)) {
      metrics.increment(
          "cactusseam_pace_contradictions_total{route=\""
              + route.name()
              + "\",contradicted=\""
              + paces.isContradicted(server.id(), route.name())
              + "\"}");
      LOG.info(
          "pace_contradicted",
          field("server", server.id()),
          field("route", route.name()),
          field("contradicted", paces.isContradicted(server.id(), route.name())),
          field("stated_percent", stated.map(ServerPace::percent).orElse(-1)),
          field("duration_ms", duration.toMillis()),
          field("estimate_percent", pacePercent(server, route)));
    }
  }

  /** Returns the estimated duration of work at a server in percent of the usual one. */
  long pacePercent(ServerInstance server, GatewayRoute route) {
    return Math.round(
        ServerPace.USUAL_PERCENT * paces.factor(server.id(), route.name(), clock.instant()));
  }

  LeavingServers leavingServers() {
    return leavingServers;
  }

  EngineReports reports() {
    return reports;
  }

  /**
   * Records that a server is leaving, and starts the copies of its runs.
   *
   * @return whether this was not known before
   */
  boolean recordDeparture(ServerInstance server, LeavingServers.Source source) {
    boolean isNew = leavingServers.markLeaving(server, source, clock.instant());
    if (isNew) {
      LOG.info("server_leaving", field("server", server.id()), field("how", source));
      // Copying all runs of a leaving engine takes longer than the engine stays, so copies start
      // now and not at the next timer tick.
      vertx.runOnContext(ignored -> active().forEach(each -> each.tick(clock.instant())));
    }
    return isNew;
  }

  /**
   * Discards the health, pace, departure and report of a server identity that a new process has
   * taken over.
   */
  void resetServer(ServerInstance server) {
    health.forget(server.id());
    paces.reset(server.id(), clock.instant());
    leavingServers.clear(server.id());
    reports.forget(server.id());
  }

  ServerHealth health() {
    return health;
  }

  ServerSelector serverSelector() {
    return serverSelector;
  }

  Rollouts rollouts() {
    return rollouts;
  }

  StreamOrigins streamOrigins() {
    return streamOrigins;
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  SharedRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name ->
            new SharedRetryBudget(
                settings.retryWindow(),
                settings.retryRatio(),
                settings.retryAllowance(),
                startedAt));
  }

  SharedRetryBudget.Decision tryReserveRetry(String service) {
    return retryBudget(service).tryReserve(vmCount, clock.instant());
  }

  RequestHedging hedging() {
    return hedging;
  }

  /**
   * Returns whether slow requests of a service may be sent to a second server: if the settings
   * permit extra requests or, without a setting, if its servers state their pace.
   */
  boolean isHedged(String service) {
    OptionalDouble share = settings.features().hedging().extraShare();
    return share.isPresent()
        ? share.getAsDouble() > 0
        : routes.service(service).filter(serverSelector::isPaced).isPresent();
  }

  RequestQueue<Exchange> queue(String service) {
    return queues.computeIfAbsent(service, name -> new RequestQueue<>());
  }

  /** Starts queued requests for which a server has capacity. */
  void startQueued() {
    List.copyOf(queues.values()).forEach(this::startQueued);
  }

  /** Starts the requests of one queue for which a server has capacity. */
  void startQueued(RequestQueue<Exchange> queue) {
    queue.startWaiting(clock.instant(), Exchange::tryStart);
  }

  void add(Exchange exchange) {
    active.add(exchange);
  }

  void remove(Exchange exchange) {
    active.remove(exchange);
  }

  /**
   * Counts the end of a response as pending until the operating system has taken all of it.
   *
   * @param written completes when the response is written, or its connection has failed
   */
  void trackWrite(Future<Void> written) {
    pendingWrites++;
    written.onComplete(ignored -> pendingWrites--);
  }

  boolean hasPendingWrites() {
    return pendingWrites > 0;
  }

  List<Exchange> active() {
    return List.copyOf(active);
  }

  /** Records that the list of gateways was read, with the entry of this gateway in it. */
  void recordGatewayListRead() {
    sharerCount.recordListRead();
  }

  /**
   * Sets the number of gateways over which retry budgets and other limits are divided.
   *
   * @param number number of known gateways, this one included
   */
  void setVmCount(int number) {
    vmCount = Math.max(1, number);
    serverSelector.setVmCount(sharerCount.count(vmCount, clock.instant()));
    quarantine.setGatewayCount(vmCount);
  }

  /** Returns the number of gateways over which limits are divided, this one included. */
  int vmCount() {
    return vmCount;
  }

  boolean isDraining() {
    return drainingSince.isPresent();
  }

  void drain() {
    drainingSince = Optional.of(clock.instant());
  }

  /** Returns the time since the shutdown signal, zero if there was none. */
  Duration timeDraining() {
    return drainingSince
        .map(since -> Duration.between(since, clock.instant()))
        .orElse(Duration.ZERO);
  }

  /** Returns the time until the process exits by itself, counted from the shutdown signal. */
  Duration timeUntilExit() {
    return settings.shutdownGrace().minus(EXIT_MARGIN).minus(timeDraining());
  }

  /**
   * Returns whether callers can be served: the gateway is not draining, and a configuration and at
   * least one server are known.
   *
   * @return result of the platform's readiness check
   */
  boolean isReady() {
    return !isDraining() && routes.version().isPresent() && !servers.all().isEmpty();
  }
}
