package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.model.gateway.GatewayConfiguration;
import org.cactusseam.model.gateway.ServerInstance;

/** One running gateway: takes the news of the store, keeps time, and shuts down. */
public final class GatewayProcess implements ControlFeed {

  private static final StructuredLog LOG = StructuredLog.of(GatewayProcess.class);

  /** Short against the notice of a reclaimed engine, 1.5 s. */
  private static final long TICK_MILLIS = 50;

  /**
   * Time for which a leaving gateway still takes what the balancer sends: the balancer asks once a
   * second and takes a gateway out after two misses.
   */
  private static final Duration BALANCER_DELAY = Duration.ofMillis(3_200);

  /** An engine leaves 1.5 s after its notice at the earliest; reports are up to 0.5 s old. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

  private final Gateway gateway;
  private final GatewayServer server;
  private final RecordRelay relay;
  private final GatewayPeers peers;
  private final Runnable exit;
  private Instant reportsAskedAt = Instant.MIN;
  private boolean closing;

  /**
   * Creates a process.
   *
   * @param gateway its state
   * @param relay records of the store that gateways pass on
   * @param exit ends the process
   */
  public GatewayProcess(Gateway gateway, RecordRelay relay, Runnable exit) {
    this.gateway = gateway;
    this.server = new GatewayServer(gateway);
    this.relay = relay;
    this.peers = new GatewayPeers(gateway, relay);
    this.exit = exit;
  }

  /**
   * Opens the ports.
   *
   * @return completes when requests can arrive
   */
  public Future<Void> start() {
    gateway.vertx().setPeriodic(TICK_MILLIS, timer -> tick());
    return server.listen().compose(opened -> peers.listen());
  }

  private void tick() {
    Instant now = gateway.clock().instant();
    gateway.servers().tick(now);
    gateway.loads().tick(now);
    gateway.placement().tick();
    peers.tick(now);
    if (relay.isStoreAway() && reportsAskedAt.plus(REPORT_INTERVAL).isBefore(now)) {
      reportsAskedAt = now;
      askForReports();
    }
    gateway.active().forEach(exchange -> exchange.tick(now));
    gateway.offerPlaces();
    if (gateway.isDraining() && !closing) {
      endIfDrained();
    }
  }

  /** While the store is away, only the engines themselves tell that they leave. */
  private void askForReports() {
    for (String id : gateway.loads().own().keySet()) {
      gateway
          .servers()
          .find(id)
          .filter(server -> isEngine(server) && !gateway.departures().isLeaving(id))
          .ifPresent(this::askForReport);
    }
  }

  private boolean isEngine(ServerInstance server) {
    return gateway
        .routes()
        .service(server.service())
        .flatMap(service -> service.engine())
        .isPresent();
  }

  private void askForReport(ServerInstance server) {
    gateway
        .engines()
        .report(server)
        .onSuccess(
            report -> {
              if (report.leaving() || report.leavesIn().isPresent()) {
                noticeDeparture(server, "reported");
              }
            })
        .onFailure(
            cause ->
                LOG.info("report_missing", field("server", server.id()), field("cause", cause)));
  }

  private void endIfDrained() {
    boolean idle =
        gateway.active().isEmpty() && gateway.drainingFor().compareTo(BALANCER_DELAY) >= 0;
    if (idle || !gateway.timeUntilEnd().isPositive()) {
      closing = true;
      LOG.info("stopped", field("open_requests", gateway.active().size()));
      server.close().onComplete(closed -> exit.run());
    }
  }

  /** Stops taking new callers, and ends when the requests that run have ended. */
  public void drain() {
    if (!gateway.isDraining()) {
      LOG.info("draining", field("open_requests", gateway.active().size()));
      gateway.drain();
    }
  }

  @Override
  public void configuration(GatewayConfiguration configuration) {
    if (gateway.routes().apply(configuration)) {
      LOG.info(
          "configuration",
          field("version", configuration.version()),
          field("routes", configuration.routes().size()),
          field("services", configuration.services().size()));
    }
  }

  @Override
  public void evacuated(String failureDomain, boolean out) {
    LOG.info("evacuation", field("domain", failureDomain), field("out", out));
    gateway.servers().evacuate(failureDomain, out);
  }

  @Override
  public void allEvacuated(Set<String> failureDomains) {
    gateway.servers().evacuateOnly(failureDomains);
  }

  @Override
  public void onlyServers(Set<String> ids) {
    LOG.info("servers", field("listed", ids.size()));
    gateway.servers().retainOnly(ids, gateway.clock().instant());
  }

  @Override
  public void server(ServerInstance instance) {
    if (gateway.servers().put(instance, gateway.clock().instant())) {
      gateway.health().forget(instance.id());
      gateway.departures().cancelled(instance.id());
      LOG.info(
          "server_listed",
          field("server", instance.id()),
          field("service", instance.service()),
          field("domain", instance.failureDomain()));
    }
    if (instance.leaving()) {
      noticeDeparture(instance, "announced");
    } else {
      gateway.departures().cancelled(instance.id());
    }
  }

  @Override
  public void serverGone(String id) {
    // Some servers do not announce that they leave: their entry goes, and they serve on for a time.
    gateway.servers().find(id).ifPresent(instance -> noticeDeparture(instance, "entry_gone"));
    gateway.servers().remove(id, gateway.clock().instant());
  }

  private void noticeDeparture(ServerInstance instance, String how) {
    if (gateway.departures().noticed(instance.id(), gateway.clock().instant())) {
      LOG.info("server_leaving", field("server", instance.id()), field("how", how));
    }
  }

  @Override
  public void storeReturned() {
    LOG.info("store_returned");
    gateway.servers().storeReturned(gateway.clock().instant());
  }

  @Override
  public void peer(String node, String host, int port) {
    peers.connect(node, host, port);
  }
}
