package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.model.gateway.EngineReport;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Asks engines for their reports when something depends on them: the room for copies while an
 * engine with own runs leaves, and departures while the store is away. Reports are charged, so none
 * is asked for otherwise.
 */
final class ReportPoller {

  private static final StructuredLog LOG = StructuredLog.of(ReportPoller.class);

  /** An engine leaves 1.5 s after its notice at the earliest; reports are up to 0.5 s old. */
  private static final Duration INTERVAL_WITHOUT_STORE = Duration.ofMillis(500);

  private final Gateway gateway;
  private final Consumer<ServerInstance> tellPeers;
  private Instant askedWithoutStoreAt = Instant.MIN;

  /**
   * Creates a poller.
   *
   * @param gateway state
   * @param tellPeers tells the other gateways that a server leaves
   */
  ReportPoller(Gateway gateway, Consumer<ServerInstance> tellPeers) {
    this.gateway = gateway;
    this.tellPeers = tellPeers;
  }

  void tick(boolean storeAway, Instant now) {
    List<ServerInstance> ownEngines =
        gateway.loads().own().keySet().stream()
            .map(gateway.servers()::find)
            .flatMap(Optional::stream)
            .filter(this::isEngine)
            .toList();
    ownEngines.stream().filter(this::isLeaving).forEach(engine -> askForRoom(engine, now));
    if (storeAway && askedWithoutStoreAt.plus(INTERVAL_WITHOUT_STORE).isBefore(now)) {
      askedWithoutStoreAt = now;
      ownEngines.stream().filter(engine -> !isLeaving(engine)).forEach(this::ask);
    }
  }

  /** Asks an engine that leaves for the size of its runs, and the others for their room. */
  private void askForRoom(ServerInstance leaving, Instant now) {
    askIfOld(leaving, now);
    gateway.servers().usable(leaving.service()).stream()
        .filter(engine -> !isLeaving(engine))
        .forEach(engine -> askIfOld(engine, now));
  }

  private void askIfOld(ServerInstance engine, Instant now) {
    if (gateway.reports().tryStartPoll(engine.id(), now)) {
      ask(engine);
    }
  }

  private void ask(ServerInstance engine) {
    gateway
        .engines()
        .report(engine)
        .onSuccess(report -> answered(engine, report))
        .onFailure(
            cause ->
                LOG.info("report_missing", field("server", engine.id()), field("cause", cause)));
  }

  private void answered(ServerInstance engine, EngineReport report) {
    gateway.reports().put(engine.id(), report, gateway.clock().instant());
    boolean leaves = report.leaving() || report.leavesIn().isPresent();
    if (leaves && gateway.recordDeparture(engine, LeavingServers.Source.REPORTED)) {
      tellPeers.accept(engine);
    }
  }

  private boolean isLeaving(ServerInstance engine) {
    return gateway.departures().isLeaving(engine.id());
  }

  private boolean isEngine(ServerInstance server) {
    return gateway
        .routes()
        .service(server.service())
        .flatMap(service -> service.engine())
        .isPresent();
  }
}
