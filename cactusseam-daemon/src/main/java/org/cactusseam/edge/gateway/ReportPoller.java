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
 * Fetches reports of engines when a decision depends on them: the free memory for copies while an
 * engine that runs requests of this gateway is leaving, and departures while the store is
 * unavailable. Reports are charged, so none is fetched otherwise.
 */
final class ReportPoller {

  private static final StructuredLog LOG = StructuredLog.of(ReportPoller.class);

  /** An engine leaves 1.5 s after its notice at the earliest, and reports are up to 0.5 s old. */
  private static final Duration POLL_INTERVAL_DURING_OUTAGE = Duration.ofMillis(500);

  private final Gateway gateway;
  private final Consumer<ServerInstance> notifyPeers;
  private Instant polledDuringOutageAt = Instant.MIN;

  /**
   * Creates a poller.
   *
   * @param gateway state of the gateway
   * @param notifyPeers notifies the other gateways that a server is leaving
   */
  ReportPoller(Gateway gateway, Consumer<ServerInstance> notifyPeers) {
    this.gateway = gateway;
    this.notifyPeers = notifyPeers;
  }

  void tick(boolean storeUnavailable, Instant now) {
    List<ServerInstance> ownEngines =
        gateway.loads().own().keySet().stream()
            .flatMap(id -> find(id).stream())
            .filter(this::isEngine)
            .toList();
    ownEngines.stream()
        .filter(engine -> isLeaving(engine) && hasRunWithoutCopy(engine))
        .forEach(engine -> pollForFreeMemory(engine, now));
    if (storeUnavailable && polledDuringOutageAt.plus(POLL_INTERVAL_DURING_OUTAGE).isBefore(now)) {
      polledDuringOutageAt = now;
      ownEngines.stream().filter(engine -> !isLeaving(engine)).forEach(this::poll);
    }
  }

  /** Returns a server that is listed, or whose entry has disappeared while it still runs. */
  private Optional<ServerInstance> find(String serverId) {
    return gateway.servers().find(serverId).or(() -> gateway.leavingServers().find(serverId));
  }

  /** A copy that exists is refreshed at its holder, which needs no report. */
  private boolean hasRunWithoutCopy(ServerInstance leaving) {
    return gateway.active().stream().anyMatch(exchange -> exchange.needsCopyFrom(leaving));
  }

  /**
   * Fetches the report of a leaving engine for the size of its runs, and those of the engines of
   * its region that stay for their free memory. Copies never go to another region.
   */
  private void pollForFreeMemory(ServerInstance leaving, Instant now) {
    pollIfDue(leaving, now);
    gateway.servers().usable(leaving.service()).stream()
        .filter(engine -> !isLeaving(engine) && isSameRegion(engine, leaving))
        .forEach(engine -> pollIfDue(engine, now));
  }

  private void pollIfDue(ServerInstance engine, Instant now) {
    if (gateway.reports().tryStartPoll(engine.id(), now)) {
      poll(engine);
    }
  }

  private void poll(ServerInstance engine) {
    gateway
        .engineClient()
        .report(engine)
        .onSuccess(report -> onReport(engine, report))
        .onFailure(
            cause ->
                LOG.info("report_missing", field("server", engine.id()), field("cause", cause)));
  }

  private void onReport(ServerInstance engine, EngineReport report) {
    gateway.reports().put(engine.id(), report, gateway.clock().instant());
    boolean leaves = report.leaving() || report.leavesIn().isPresent();
    if (leaves && gateway.recordDeparture(engine, LeavingServers.Source.REPORTED)) {
      notifyPeers.accept(engine);
    }
  }

  private boolean isLeaving(ServerInstance engine) {
    return gateway.leavingServers().isLeaving(engine.id());
  }

  private boolean isSameRegion(ServerInstance one, ServerInstance other) {
    return gateway.settings().location().isSameRegion(one.failureDomain(), other.failureDomain());
  }

  private boolean isEngine(ServerInstance server) {
    return gateway
        .routes()
        .service(server.service())
        .flatMap(service -> service.engine())
        .isPresent();
  }
}
