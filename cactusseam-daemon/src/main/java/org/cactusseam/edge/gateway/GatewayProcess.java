package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.model.gateway.GatewayConfiguration;
import org.cactusseam.model.gateway.ServerInstance;

/** One running gateway: takes the news of the store, keeps time, and shuts down. */
public final class GatewayProcess implements StoreUpdateListener {

  private static final StructuredLog LOG = StructuredLog.of(GatewayProcess.class);

  /** Short against the notice of a reclaimed engine, 1.5 s. */
  private static final long TICK_MILLIS = 50;

  /** Short against the time for which callers may stay idle, some seconds and more. */
  private static final Duration IDLE_CHECK = Duration.ofSeconds(1);

  /**
   * Time for which a leaving gateway still takes what the balancer sends: the balancer asks once a
   * second and takes a gateway out after two misses.
   */
  private static final Duration BALANCER_DELAY = Duration.ofMillis(3_200);

  private final Gateway gateway;
  private final GatewayServer server;
  private final RecordCache relay;
  private final GatewayPeers peers;
  private final ReportPoller reports;
  private final Runnable exit;
  private Instant idleCheckedAt = Instant.EPOCH;
  private boolean closing;

  /**
   * Creates a process.
   *
   * @param gateway its state
   * @param relay records of the store that gateways pass on
   * @param exit ends the process
   */
  public GatewayProcess(Gateway gateway, RecordCache relay, Runnable exit) {
    this.gateway = gateway;
    this.server = new GatewayServer(gateway);
    this.relay = relay;
    this.peers = new GatewayPeers(gateway, relay);
    this.reports = new ReportPoller(gateway, peers::tellDeparture);
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
    gateway
        .servers()
        .tick(now)
        .forEach(server -> gateway.recordDeparture(server, LeavingServers.Source.ENTRY_GONE));
    gateway.loads().tick(now);
    gateway.placement().tick();
    peers.tick(now);
    if (idleCheckedAt.plus(IDLE_CHECK).isBefore(now)) {
      idleCheckedAt = now;
      server.tick(now);
    }
    reports.tick(relay.isStoreAway(), now);
    gateway.active().forEach(exchange -> exchange.tick(now));
    gateway.offerPlaces();
    if (gateway.isDraining() && !closing) {
      endIfDrained();
    }
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
    gateway.servers().setEvacuated(failureDomain, out);
  }

  @Override
  public boolean server(ServerInstance instance) {
    boolean isNew = gateway.servers().put(instance, gateway.clock().instant());
    if (isNew) {
      gateway.startedAgain(instance);
      LOG.info(
          "server_listed",
          field("server", instance.id()),
          field("service", instance.service()),
          field("domain", instance.failureDomain()));
    }
    if (instance.leaving()) {
      gateway.recordDeparture(instance, LeavingServers.Source.ANNOUNCED);
    } else {
      gateway.departures().clearIfOlder(instance.id(), gateway.clock().instant());
    }
    return isNew;
  }

  @Override
  public boolean serverGone(String id) {
    // Some servers do not announce that they leave: their entry goes, and they serve on for a time.
    Optional<ServerInstance> gone = gateway.servers().remove(id, gateway.clock().instant());
    gone.ifPresent(server -> gateway.recordDeparture(server, LeavingServers.Source.ENTRY_GONE));
    return gateway.servers().find(id).isEmpty();
  }

  @Override
  public void storeReturned() {
    LOG.info("store_returned");
    gateway.servers().storeReturned(gateway.clock().instant());
  }

  @Override
  public void peer(String node, String host, int port, String failureDomain) {
    peers.connect(node, host, port, failureDomain);
  }
}
