package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cactusseam.edge.IsolatedAction;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.logic.rollout.RolloutReport;
import org.cactusseam.logic.rollout.RolloutState;
import org.cactusseam.model.gateway.GatewayConfiguration;
import org.cactusseam.model.gateway.RolloutOrder;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.quarantine.Conviction;

/**
 * A running gateway process: applies updates of the store, runs periodic work, and shuts down
 * gracefully.
 */
public final class GatewayProcess implements StoreUpdateListener {

  private static final StructuredLog LOG = StructuredLog.of(GatewayProcess.class);

  /** Short compared with the notice that a reclaimed engine gives, 1.5 s. */
  private static final long TICK_MILLIS = 50;

  /**
   * Short compared with the idle time that callers are allowed, which is several seconds or more.
   */
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofSeconds(1);

  /**
   * Time for which a draining gateway still accepts requests from the load balancer, which checks
   * readiness once per second and removes a gateway after two failed checks.
   */
  private static final Duration BALANCER_REMOVAL_DELAY = Duration.ofMillis(3_200);

  /** Time for the answers that are given when the time to drain is up to reach their callers. */
  private static final Duration LAST_WRITES_TIMEOUT = Duration.ofMillis(100);

  /** Time within which the connections are closed; the process exits in any case. */
  private static final long CLOSE_TIMEOUT_MILLIS = 50;

  private static final Step[] STEPS = Step.values();

  private final Gateway gateway;
  private final GatewayServer server;
  private final RecordCache recordCache;
  private final ConvictionStore convictionStore;
  private final GatewayPeers peers;
  private final ReportPoller reportPoller;
  private final RolloutCoordinator rolloutCoordinator;
  private final Runnable exit;
  private Instant idleCheckedAt = Instant.EPOCH;
  private boolean closing;

  /**
   * Step of the periodic work, in the order in which the steps run. A lambda for each would be a
   * class of its own, which every process generates at its start.
   */
  private enum Step {
    PAUSES("pauses"),
    SERVERS("servers"),
    SELECTION("selection"),
    PEERS("peers"),
    QUARANTINE("quarantine"),
    ROLLOUTS("rollouts"),
    CONNECTIONS("connections"),
    MEMORY("memory"),
    REPORTS("reports");

    private final String label;

    Step(String label) {
      this.label = label;
    }
  }

  /**
   * Creates a process without opening its ports.
   *
   * @param gateway state of the gateway
   * @param recordCache store records that gateways replicate
   * @param convictionStore keeps convictions in the store
   * @param rolloutStore keeps the stages of roll-outs in the store
   * @param originStore keeps in the store which version began a stream
   * @param exit ends the process
   */
  public GatewayProcess(
      Gateway gateway,
      RecordCache recordCache,
      ConvictionStore convictionStore,
      RolloutStore rolloutStore,
      StreamOriginStore originStore,
      Runnable exit) {
    this.gateway = gateway;
    this.server = new GatewayServer(gateway);
    this.recordCache = recordCache;
    this.convictionStore = convictionStore;
    this.peers = new GatewayPeers(gateway, recordCache);
    this.reportPoller = new ReportPoller(gateway, peers::broadcastDeparture);
    this.rolloutCoordinator =
        new RolloutCoordinator(
            gateway,
            peers.rolloutPeers(this::onRolloutReport),
            rolloutStore,
            gateway.clock().instant());
    this.exit = exit;
    gateway.streamOrigins().setStore(originStore);
  }

  /**
   * Opens the ports and starts the periodic work.
   *
   * @return completes when requests can arrive
   */
  public Future<Void> start() {
    gateway.vertx().setPeriodic(TICK_MILLIS, timer -> tick());
    return server.listen().compose(opened -> peers.listen());
  }

  /**
   * Runs the periodic work. A step that fails must not keep back the others, the end of the process
   * least of all.
   */
  private void tick() {
    Instant now = gateway.clock().instant();
    for (Step step : STEPS) {
      runStep(step.label, () -> run(step, now));
    }
    gateway.active().forEach(exchange -> runStep("request", () -> exchange.tick(now)));
    runStep("queues", gateway::startQueued);
    if (gateway.isDraining() && !closing) {
      runStep("exit", this::exitIfDrained);
    }
  }

  private void run(Step step, Instant now) {
    switch (step) {
      case PAUSES -> gateway.checkPause(now);
      case SERVERS -> expireServers(now);
      case SELECTION -> gateway.serverSelector().tick();
      case PEERS -> peers.tick(now);
      case QUARANTINE -> gateway.quarantine().tick(convictionStore, now);
      case ROLLOUTS -> rolloutCoordinator.tick(now);
      case CONNECTIONS -> checkIdleConnections(now);
      case MEMORY -> server.checkMemory();
      case REPORTS -> reportPoller.tick(recordCache.isStoreUnavailable(), now);
      default -> throw new IllegalArgumentException("unknown step " + step);
    }
  }

  private void runStep(String step, Runnable action) {
    IsolatedAction.run(LOG, "step_failed", field("step", step), action);
  }

  private void expireServers(Instant now) {
    gateway
        .servers()
        .tick(now)
        .forEach(server -> gateway.recordDeparture(server, LeavingServers.Source.ENTRY_GONE));
    gateway.leavingServers().tick(gateway.servers(), now);
    gateway.streamOrigins().tick(now);
  }

  private void checkIdleConnections(Instant now) {
    if (idleCheckedAt.plus(IDLE_CHECK_INTERVAL).isBefore(now)) {
      idleCheckedAt = now;
      server.tick(now);
    }
  }

  private void exitIfDrained() {
    boolean isTimeUp = !gateway.timeUntilExit().isPositive();
    if (isTimeUp) {
      endOpenRequests();
    }
    boolean isIdle =
        gateway.active().isEmpty()
            && !server.isReadingRequest()
            && gateway.timeDraining().compareTo(BALANCER_REMOVAL_DELAY) >= 0;
    if ((isTimeUp || isIdle) && isEverythingWritten()) {
      closing = true;
      LOG.info("stopped", field("unwritten_responses", gateway.hasPendingWrites()));
      gateway.vertx().setTimer(CLOSE_TIMEOUT_MILLIS, timer -> exit.run());
      server.close().onComplete(closed -> exit.run());
    }
  }

  private boolean isEverythingWritten() {
    return !gateway.hasPendingWrites()
        || gateway.timeUntilExit().plus(LAST_WRITES_TIMEOUT).isNegative();
  }

  private void endOpenRequests() {
    if (!gateway.active().isEmpty()) {
      LOG.info("requests_cut_off", field("open_requests", gateway.active().size()));
      gateway.active().forEach(each -> runStep("request", each::endBeforeExit));
    }
  }

  /**
   * Starts the graceful shutdown: the gateway reports that it is not ready, and the process exits
   * when its active requests have ended.
   */
  public void drain() {
    if (!gateway.isDraining()) {
      LOG.info("draining", field("open_requests", gateway.active().size()));
      gateway.drain();
      gateway.active().forEach(Exchange::endIfWaitingPastExit);
    }
  }

  @Override
  public void onConfiguration(GatewayConfiguration configuration) {
    if (gateway.routes().apply(configuration)) {
      gateway.paces().retainRoutes(gateway.routes()::hasRoute);
      LOG.info(
          "configuration",
          field("version", configuration.version()),
          field("routes", configuration.routes().size()),
          field("services", configuration.services().size()));
    }
  }

  @Override
  public void onEvacuation(String failureDomain, boolean out) {
    LOG.info("evacuation", field("domain", failureDomain), field("out", out));
    gateway.servers().setEvacuated(failureDomain, out);
  }

  @Override
  public boolean onServerListed(ServerInstance instance) {
    boolean isNew = gateway.servers().put(instance, gateway.clock().instant());
    gateway.streamOrigins().onServerListed(instance);
    if (isNew) {
      gateway.resetServer(instance);
      LOG.info(
          "server_listed",
          field("server", instance.id()),
          field("service", instance.service()),
          field("domain", instance.failureDomain()));
    }
    gateway.rollouts().onServerListed(instance);
    if (instance.leaving()) {
      gateway.recordDeparture(instance, LeavingServers.Source.ANNOUNCED);
    } else {
      gateway.leavingServers().clearIfOlder(instance.id(), gateway.clock().instant());
    }
    return isNew;
  }

  @Override
  public boolean onServerRemoved(String id) {
    // Some servers do not announce that they leave: their entry disappears while they still serve.
    Optional<ServerInstance> gone = gateway.servers().remove(id, gateway.clock().instant());
    gone.ifPresent(server -> gateway.recordDeparture(server, LeavingServers.Source.ENTRY_GONE));
    return gateway.servers().find(id).isEmpty();
  }

  @Override
  public void onStoreRecovered() {
    LOG.info("store_returned");
    gateway.servers().storeReturned(gateway.clock().instant());
  }

  @Override
  public void onStoreRestored() {
    onStoreRecovered();
    gateway.quarantine().publishAgain();
    gateway.streamOrigins().onStoreRestored();
  }

  @Override
  public void onConvictionStored(Conviction conviction) {
    gateway.quarantine().mergeStored(conviction);
  }

  private void onRolloutReport(RolloutReport report) {
    rolloutCoordinator.onReport(report);
  }

  @Override
  public void onRolloutOrder(RolloutOrder order) {
    gateway.rollouts().onOrder(order);
  }

  @Override
  public void onRolloutOrderRemoved(String service) {
    gateway.rollouts().onOrderRemoved(service);
  }

  @Override
  public void onRolloutState(RolloutState state) {
    gateway.rollouts().onState(state);
  }

  @Override
  public void onServiceVersions(String service, List<String> versions) {
    gateway.streamOrigins().onVersionsRead(service, versions);
  }

  @Override
  public void onGatewaysListed() {
    gateway.streamOrigins().onVersionsComplete();
  }

  @Override
  public void onGatewayListed(String node, String host, int port, String failureDomain) {
    peers.connect(node, host, port, failureDomain);
  }
}
