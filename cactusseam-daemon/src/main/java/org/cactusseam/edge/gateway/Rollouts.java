package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.logic.gateway.ProcessPauses;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.logic.rollout.CoordinatorRank;
import org.cactusseam.logic.rollout.EvidenceKey;
import org.cactusseam.logic.rollout.EvidenceRules;
import org.cactusseam.logic.rollout.RolloutEvidence;
import org.cactusseam.logic.rollout.RolloutState;
import org.cactusseam.logic.rollout.RolloutTable;
import org.cactusseam.logic.rollout.ServiceRollout;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.RolloutOrder;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.VersionFilter;

/**
 * Versions that the requests of this gateway use because of roll-outs, and the evidence that their
 * responses give. Without roll-outs in the deployment, every server is allowed.
 */
final class Rollouts {

  private static final StructuredLog LOG = StructuredLog.of(Rollouts.class);

  /**
   * Time for which a version without an order is held back. The longest time that deployments allow
   * for a configuration to take effect.
   */
  private static final Duration HOLD_TIME = Duration.ofSeconds(4);

  /**
   * Servers of a region that are tried out. Few, so that they see load; two, so that a fault of one
   * is not attributed to the version.
   */
  private static final int CANARY_SERVERS = 2;

  /**
   * Part of the time to the deadline in which no server is tried out that warms up. Its times show
   * nothing about its version, and the number of canary requests is limited.
   */
  private static final double WARM_UP_PROGRESS = 0.25;

  private final Gateway gateway;
  private final EvidenceRules rules;
  private final Optional<RolloutTable> table;
  private final Set<String> drainingServices = new HashSet<>();

  /** How a request at a server ended. */
  enum Outcome {
    SUCCESS,
    FAILURE,
    /** The caller has left or the time limit has passed before an answer. */
    ABORTED
  }

  Rollouts(Gateway gateway, ProcessPauses pauses) {
    this.gateway = gateway;
    this.rules = new EvidenceRules(gateway.leavingServers(), pauses);
    this.table =
        gateway
            .settings()
            .features()
            .rollouts()
            .map(settings -> new RolloutTable(settings, HOLD_TIME, gateway.settings().node()));
  }

  Optional<RolloutTable> table() {
    return table;
  }

  /** Adds a newly listed server, whose version may have to be held back. */
  void onServerListed(ServerInstance server) {
    table.ifPresent(known -> update(known, server.service(), gateway.clock().instant()));
  }

  private void update(RolloutTable known, String service, Instant now) {
    known.update(service, listed(service), now);
  }

  private List<ServerInstance> listed(String service) {
    return gateway.servers().all().stream()
        .filter(server -> server.service().equals(service))
        .toList();
  }

  void onOrder(RolloutOrder order) {
    if (table.isPresent() && table.get().onOrder(order, gateway.clock().instant())) {
      LOG.info(
          "rollout_order",
          field("service", order.service()),
          field("version", order.version()),
          field("order", order.id()),
          field("duration_ms", order.duration().toMillis()));
    }
  }

  void onOrderRemoved(String service) {
    table
        .flatMap(known -> known.onOrderRemoved(service))
        .ifPresent(
            removed ->
                LOG.info(
                    "rollout_order_removed",
                    field("service", service),
                    field("order", removed.order().id())));
  }

  void onState(RolloutState state) {
    if (table.isPresent() && table.get().onState(state)) {
      LOG.info(
          "rollout_stage",
          field("service", state.service()),
          field("order", state.orderId()),
          field("version", state.version()),
          field("stage", state.stage().label()),
          field("replaced", String.join(",", state.replaced())),
          field("reason", state.reason()),
          field("sent", table.get().find(state.service()).map(this::sent).orElse(0L)));
      applyDraining(table.get());
    }
  }

  private long sent(ServiceRollout rollout) {
    return rollout.exposure().sent();
  }

  /** Stops requests to the new version of an order. */
  void hold(String service, long orderId, String reason) {
    if (table.isPresent() && table.get().hold(service, orderId, reason)) {
      LOG.warn(
          "rollout_held",
          field("service", service),
          field("order", orderId),
          field("reason", reason));
      applyDraining(table.get());
    }
  }

  void tick(Instant now) {
    if (table.isEmpty()) {
      return;
    }
    gateway.servers().all().stream()
        .map(ServerInstance::service)
        .distinct()
        .forEach(service -> update(table.get(), service, now));
    for (ServiceRollout rollout : table.get().all()) {
      boolean wasDraining = rollout.isDraining();
      if (rollout.isPreparing()) {
        rollout.updateSwitch(gateway.vmCount(), oldRuns(rollout), now);
      }
      if (rollout.isDraining() != wasDraining) {
        LOG.info(
            "rollout_switched",
            field("service", rollout.order().service()),
            field("order", rollout.order().id()),
            field("all_new", rollout.isDraining()),
            field("sent", sent(rollout)),
            field("gateways", gateway.vmCount()));
      }
    }
    applyDraining(table.get());
  }

  /** Marks the servers that are replaced as leaving, and clears the marks of a reverted order. */
  private void applyDraining(RolloutTable known) {
    Set<String> draining =
        known.all().stream()
            .filter(ServiceRollout::isDraining)
            .map(rollout -> rollout.order().service())
            .collect(Collectors.toSet());
    for (String service : draining) {
      ServiceRollout rollout = known.find(service).orElseThrow();
      listed(service).stream()
          .filter(server -> !rollout.isNew(server))
          .forEach(server -> gateway.recordDeparture(server, LeavingServers.Source.REPLACED));
    }
    for (String service : drainingServices) {
      if (!draining.contains(service)) {
        gateway.leavingServers().clearReplaced(service);
      }
    }
    drainingServices.clear();
    drainingServices.addAll(draining);
  }

  /** Returns whether runs of a server are to be moved because its version is replaced. */
  boolean isReplaced(ServerInstance server) {
    return drainingServices.contains(server.service())
        && table
            .flatMap(known -> known.find(server.service()))
            .filter(rollout -> rollout.isDraining() && !rollout.isNew(server))
            .isPresent();
  }

  /** Returns whether runs of a server are to be copied because its version will be replaced. */
  boolean isToBeReplaced(ServerInstance server) {
    return find(server.service())
        .filter(rollout -> rollout.isPreparing() && !rollout.isNew(server))
        .isPresent();
  }

  /** Returns the versions of the servers to which the runs of a server may be copied. */
  VersionFilter copyTargets(ServerInstance source) {
    if (table.isEmpty()) {
      return VersionFilter.only(Set.of(source.version()));
    }
    String service = source.service();
    return find(service)
        .filter(ServiceRollout::isPreparing)
        .flatMap(ServiceRollout::state)
        .map(RolloutState::newVersion)
        .orElseGet(() -> usualVersions(service));
  }

  /** Returns whether a run that has started elsewhere may continue on a server. */
  boolean mayContinueOn(ServerInstance server) {
    return gateway.servers().isUsable(server)
        && !gateway.leavingServers().isLeaving(server.id())
        && (usualVersions(server.service()).accepts(server) || isTriedByMoves(server));
  }

  /** Runs that were copied in draining continue on the new version within the exposure limit. */
  private boolean isTriedByMoves(ServerInstance server) {
    return find(server.service())
        .filter(rollout -> rollout.isPreparing() && rollout.isNew(server))
        .filter(rollout -> rollout.canStaySwitched(gateway.vmCount(), gateway.clock().instant()))
        .isPresent();
  }

  /** Returns the number of requests of this gateway that run on servers that are replaced. */
  int oldRuns(ServiceRollout rollout) {
    return gateway.loads().own().entrySet().stream()
        .filter(
            load ->
                gateway
                    .servers()
                    .find(load.getKey())
                    .or(() -> gateway.leavingServers().find(load.getKey()))
                    .filter(server -> server.service().equals(rollout.order().service()))
                    .filter(server -> !rollout.isNew(server))
                    .isPresent())
        .mapToInt(load -> load.getValue().runs())
        .sum();
  }

  private Optional<ServiceRollout> find(String service) {
    return table.flatMap(known -> known.find(service));
  }

  /** Returns the known state of an order. */
  Optional<RolloutState> state(String service, long orderId) {
    return find(service).flatMap(ServiceRollout::state).filter(state -> state.orderId() == orderId);
  }

  /**
   * Counts a request that is sent to a server.
   *
   * @param isFirst whether it has not been sent before
   */
  void recordSent(ServerInstance server, boolean isFirst) {
    Optional<ServiceRollout> known = find(server.service());
    if (isFirst) {
      known.ifPresent(rollout -> rollout.recordRequest(gateway.clock().instant()));
    }
    known
        .filter(rollout -> rollout.isNew(server))
        .ifPresent(rollout -> rollout.exposure().recordSent());
  }

  /**
   * Returns the versions that requests may use that do not try out a version.
   *
   * @return filter, which allows all versions without roll-outs in the deployment
   */
  VersionFilter usualVersions(String service) {
    return table
        .map(
            known ->
                known.choices(service, false, 1, gateway.clock().instant()).getLast().versions())
        .orElse(VersionFilter.ANY);
  }

  /**
   * Chooses a server of a version that the request may use.
   *
   * @param requirements requirements of the request
   * @param isFirst whether the request has not been sent yet
   * @return server, or empty if none has capacity
   */
  Optional<ServerInstance> choose(ServerSelector.Requirements requirements, boolean isFirst) {
    if (table.isEmpty()) {
      return gateway.serverSelector().choose(requirements);
    }
    String service = requirements.service().name();
    for (RolloutTable.Choice choice :
        table.get().choices(service, isFirst, gateway.vmCount(), gateway.clock().instant())) {
      Set<String> excluded = choice.isCanary() ? notTried(service, choice) : Set.of();
      Optional<ServerInstance> server =
          gateway.serverSelector().choose(requirements.withServers(choice.versions(), excluded));
      if (server.isPresent()) {
        return server;
      }
    }
    return Optional.empty();
  }

  /** Returns the servers of the new version to which no canary requests are sent. */
  private Set<String> notTried(String service, RolloutTable.Choice choice) {
    List<ServerInstance> candidates =
        gateway.servers().usable(service).stream().filter(choice.versions()::accepts).toList();
    List<ServerInstance> near = candidates.stream().filter(this::isOwnRegion).toList();
    Instant now = gateway.clock().instant();
    boolean isEarly =
        find(service).filter(rollout -> rollout.progress(now) < WARM_UP_PROGRESS).isPresent();
    Set<String> tried =
        (near.isEmpty() ? candidates : near)
            .stream()
                .sorted(
                    Comparator.comparingLong(
                        server -> CoordinatorRank.hash(service, 0, server.id())))
                .limit(CANARY_SERVERS)
                .filter(server -> !isEarly || !gateway.servers().isWarmingUp(server.id(), now))
                .map(ServerInstance::id)
                .collect(Collectors.toSet());
    return candidates.stream()
        .map(ServerInstance::id)
        .filter(id -> !tried.contains(id))
        .collect(Collectors.toSet());
  }

  private boolean isOwnRegion(ServerInstance server) {
    return gateway.settings().location().isOwnRegion(server.failureDomain());
  }

  /**
   * Records how a request at a server ended.
   *
   * @param sentAt time at which it was sent
   */
  void recordOutcome(GatewayRoute route, ServerInstance server, Outcome outcome, Instant sentAt) {
    Optional<ServiceRollout> rollout = evidenceOf(server);
    if (rollout.isEmpty()) {
      return;
    }
    gateway
        .metrics()
        .increment(
            "cactusseam_version_responses_total{service=\""
                + server.service()
                + "\",version=\""
                + server.version()
                + "\",outcome=\""
                + outcome.name().toLowerCase(Locale.ROOT)
                + "\"}");
    RolloutEvidence evidence = rollout.get().evidence();
    EvidenceKey key = key(EvidenceKey.Measure.RESPONSE, route, rollout.get(), server);
    if (outcome == Outcome.FAILURE) {
      evidence.recordFailure(key);
    } else if (outcome == Outcome.SUCCESS) {
      evidence.recordSuccess(key);
      recordTime(evidence, key, server, sentAt);
    } else if (!sentAt.plus(route.targetLatency()).isAfter(gateway.clock().instant())) {
      // The answer would have taken longer. An aborted request of a short time says nothing.
      recordTime(evidence, key, server, sentAt);
    }
  }

  /**
   * Records the time of a fixed number of events of a stream, the last of which arrives now.
   *
   * @param firstEventAt time at which the stream's first event arrived
   */
  void recordEvents(GatewayRoute route, ServerInstance server, Instant firstEventAt) {
    evidenceOf(server)
        .ifPresent(
            rollout ->
                recordTime(
                    rollout.evidence(),
                    key(EvidenceKey.Measure.EVENTS, route, rollout, server),
                    server,
                    firstEventAt));
  }

  /** Times across regions, and of servers that warm up, do not show the pace of a version. */
  private void recordTime(
      RolloutEvidence evidence, EvidenceKey key, ServerInstance server, Instant from) {
    Instant now = gateway.clock().instant();
    if (isOwnRegion(server) && !gateway.servers().isWarmingUp(server.id(), now)) {
      rules.recordTime(evidence, key, from, now);
    }
  }

  private static EvidenceKey key(
      EvidenceKey.Measure measure,
      GatewayRoute route,
      ServiceRollout rollout,
      ServerInstance server) {
    return RolloutEvidence.key(measure, route.name(), rollout.isNew(server), server);
  }

  private Optional<ServiceRollout> evidenceOf(ServerInstance server) {
    return rules.isEvidence(server)
        ? find(server.service()).filter(ServiceRollout::isGatheringEvidence)
        : Optional.empty();
  }
}
