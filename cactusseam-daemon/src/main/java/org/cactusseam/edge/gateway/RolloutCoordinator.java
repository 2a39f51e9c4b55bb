package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.rollout.CoordinatorRank;
import org.cactusseam.logic.rollout.RolloutPlan;
import org.cactusseam.logic.rollout.RolloutReport;
import org.cactusseam.logic.rollout.RolloutReports;
import org.cactusseam.logic.rollout.RolloutStage;
import org.cactusseam.logic.rollout.RolloutState;
import org.cactusseam.logic.rollout.RolloutTable;
import org.cactusseam.logic.rollout.ServiceRollout;
import org.cactusseam.logic.rollout.VersionTest;
import org.cactusseam.model.gateway.ServerInstance;
import org.jspecify.annotations.Nullable;

/**
 * Reports the evidence of this gateway, and decides the stages of the orders for which it is one of
 * the candidates.
 */
final class RolloutCoordinator {

  private static final StructuredLog LOG = StructuredLog.of(RolloutCoordinator.class);

  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

  /** In shifting and draining, a bad version receives many requests within a second. */
  private static final Duration SHORT_REPORT_INTERVAL = Duration.ofMillis(200);

  /** Pause after a write that failed, as long as a slow response of the store. */
  private static final Duration WRITE_INTERVAL = Duration.ofMillis(250);

  /** A record that the store has forgotten is written again within this time. */
  private static final Duration CONFIRM_INTERVAL = Duration.ofSeconds(10);

  private final Gateway gateway;
  private final Rollouts rollouts;
  private final RolloutPeers peers;
  private final RolloutStore store;
  private final long startedAtMillis;
  private final Map<String, Course> courses = new HashMap<>();

  /** Progress of one order, as this gateway sees it. */
  private static final class Course {
    private final long orderId;
    private RolloutReports reports = new RolloutReports();
    private VersionTest test = new VersionTest();
    private @Nullable Set<String> members;
    private @Nullable Set<String> connected;
    private List<String> candidates = List.of();
    private Instant reportedAt = Instant.MIN;
    private boolean hasReportedDrained;
    private @Nullable RolloutStage dueStage;
    private Instant dueSince = Instant.MIN;
    private boolean isWriting;
    private Instant nextWriteAt = Instant.MIN;
    private @Nullable RolloutState statusOf;
    private Instant statusDueSince = Instant.MIN;
    private boolean isStatusWritten;
    private Instant holdSentAt = Instant.MIN;
    private Instant confirmedAt = Instant.MIN;
    private @Nullable RolloutState announced;
    private Instant announcedAt = Instant.MIN;
    private boolean hasWrittenStage;
    private boolean isEnded;

    Course(long orderId) {
      this.orderId = orderId;
    }

    /** Drops what only a stage that is not final needs. */
    void dropReports() {
      if (isEnded) {
        return;
      }
      isEnded = true;
      reports = new RolloutReports();
      test = new VersionTest();
    }
  }

  RolloutCoordinator(Gateway gateway, RolloutPeers peers, RolloutStore store, Instant startedAt) {
    this.gateway = gateway;
    this.rollouts = gateway.rollouts();
    this.peers = peers;
    this.store = store;
    this.startedAtMillis = startedAt.toEpochMilli();
  }

  void tick(Instant now) {
    rollouts.tick(now);
    rollouts.table().ifPresent(table -> table.all().forEach(rollout -> tick(table, rollout, now)));
  }

  private void tick(RolloutTable table, ServiceRollout rollout, Instant now) {
    Course course = course(rollout.order().service(), rollout.order().id());
    if (course.orderId != rollout.order().id()) {
      // Another gateway has already reported on a later order, which is read soon.
      return;
    }
    List<String> candidates = candidates(rollout, course);
    if (isFinal(rollout)) {
      course.dropReports();
    } else {
      report(rollout, course, candidates, now);
    }
    int rank = candidates.indexOf(gateway.settings().node());
    if (rank < 0) {
      return;
    }
    decide(table, rollout, course, rank, now);
    confirmStatus(rollout, course, rank, now);
    announce(rollout, course, now);
  }

  /**
   * Sends the stage to all gateways when it changes, and again at intervals for those that were
   * disconnected. A gateway that cannot read the store would otherwise keep the others from
   * completing the order.
   */
  private void announce(ServiceRollout rollout, Course course, Instant now) {
    boolean isRecent = course.announcedAt.plus(CONFIRM_INTERVAL).isAfter(now);
    if (rollout.state().isEmpty() || (isRecent && rollout.state().get().equals(course.announced))) {
      return;
    }
    course.announced = rollout.state().get();
    course.announcedAt = now;
    peers.send(peers.connected(), new GatewayMessage.RolloutUpdate(course.announced));
  }

  private static boolean isFinal(ServiceRollout rollout) {
    return rollout.state().filter(state -> state.stage().isFinal()).isPresent();
  }

  private Course course(String service, long orderId) {
    Course known = courses.get(service);
    if (known == null || known.orderId < orderId) {
      known = new Course(orderId);
      courses.put(service, known);
    }
    return known;
  }

  /**
   * Returns the first gateways of the ranking, and then the first of those that are connected, in
   * case none of the former is. They are ranked only when the gateways change.
   */
  private List<String> candidates(ServiceRollout rollout, Course course) {
    Set<String> members = Set.copyOf(peers.members());
    Set<String> connected = Set.copyOf(peers.connected());
    if (!members.equals(course.members) || !connected.equals(course.connected)) {
      course.members = members;
      course.connected = connected;
      Set<String> candidates = new LinkedHashSet<>(ranked(rollout, List.copyOf(members)));
      candidates.addAll(ranked(rollout, List.copyOf(connected)));
      course.candidates = List.copyOf(candidates);
    }
    return course.candidates;
  }

  private List<String> ranked(ServiceRollout rollout, List<String> others) {
    return CoordinatorRank.candidates(
        rollout.order().service(), rollout.order().id(), withSelf(others));
  }

  private void report(ServiceRollout rollout, Course course, List<String> candidates, Instant now) {
    int oldRuns = rollouts.oldRuns(rollout);
    boolean isDrained = rollout.isDraining() && oldRuns == 0;
    boolean isDue = !course.reportedAt.plus(reportInterval(rollout)).isAfter(now);
    // The order completes when the last gateway has reported this.
    if (!isDue && (!isDrained || course.hasReportedDrained)) {
      return;
    }
    course.reportedAt = now;
    course.hasReportedDrained = isDrained;
    RolloutReport report =
        new RolloutReport(
            gateway.settings().node(),
            startedAtMillis,
            rollout.order().service(),
            rollout.order().id(),
            rollout.reportedStage(),
            oldRuns,
            rollout.evidence().counts());
    peers.send(candidates, new GatewayMessage.RolloutEvidence(report));
    onReport(report);
  }

  private static Duration reportInterval(ServiceRollout rollout) {
    return rollout
            .state()
            .filter(state -> !(state.stage() instanceof RolloutStage.Canary))
            .isPresent()
        ? SHORT_REPORT_INTERVAL
        : REPORT_INTERVAL;
  }

  void onReport(RolloutReport report) {
    tellStage(report);
    Course course = course(report.service(), report.orderId());
    boolean isEnded =
        rollouts
            .state(report.service(), report.orderId())
            .filter(state -> state.stage().isFinal())
            .isPresent();
    if (course.orderId == report.orderId() && !isEnded) {
      Instant now = gateway.clock().instant();
      course.test.add(course.reports.add(report, now), now);
    }
  }

  /** Sends the stage to a gateway that has started during the order, or cannot read the store. */
  private void tellStage(RolloutReport report) {
    if (report.stage().isEmpty() && !report.node().equals(gateway.settings().node())) {
      rollouts
          .state(report.service(), report.orderId())
          .ifPresent(
              state -> peers.send(List.of(report.node()), new GatewayMessage.RolloutUpdate(state)));
    }
  }

  private void decide(
      RolloutTable table, ServiceRollout rollout, Course course, int rank, Instant now) {
    String service = rollout.order().service();
    VersionTest.Verdict verdict =
        rollout.badVerdict().orElseGet(() -> course.test.verdict(newServers(rollout)));
    Optional<RolloutState> next =
        rollout.state().isEmpty()
            ? table.initialState(rollout, now)
            : RolloutPlan.next(
                rollout.state().get(),
                new RolloutPlan.Situation(
                    verdict,
                    course.reports.hasSwitched(withSelf(peers.connected()), now),
                    course.reports.isDrained(withSelf(peers.awaited()), now),
                    rollout.order().duration()),
                now);
    if (next.isEmpty()) {
      course.dueStage = null;
      confirmState(rollout, course, rank, now);
      return;
    }
    // Repeated, because a gateway may have been disconnected.
    if (verdict.kind() == VersionTest.Kind.BAD
        && !course.holdSentAt.plus(REPORT_INTERVAL).isAfter(now)) {
      course.holdSentAt = now;
      rollouts.hold(service, course.orderId, verdict.reason());
      peers.send(
          peers.connected(),
          new GatewayMessage.RolloutHold(service, course.orderId, verdict.reason()));
    }
    if (!next.get().stage().equals(course.dueStage)) {
      course.dueStage = next.get().stage();
      course.dueSince = now;
    }
    boolean isTime = !course.dueSince.plus(CoordinatorRank.delay(rank)).isAfter(now);
    if (isTime && !course.isWriting && !course.nextWriteAt.isAfter(now)) {
      write(rollout, course, next.get(), rank);
    }
  }

  /** Writes the known state again if the store has forgotten it. */
  private void confirmState(ServiceRollout rollout, Course course, int rank, Instant now) {
    if (rollout.state().isPresent()
        && !course.isWriting
        && !course.confirmedAt.plus(CONFIRM_INTERVAL).isAfter(now)) {
      course.confirmedAt = now;
      write(rollout, course, rollout.state().get(), rank);
    }
  }

  private int newServers(ServiceRollout rollout) {
    return (int)
        gateway.servers().usable(rollout.order().service()).stream()
            .filter(rollout::isNew)
            .map(ServerInstance::id)
            .count();
  }

  private List<String> withSelf(List<String> others) {
    List<String> nodes = new ArrayList<>(others);
    nodes.add(gateway.settings().node());
    return nodes;
  }

  private void write(ServiceRollout rollout, Course course, RolloutState next, int rank) {
    course.isWriting = true;
    store
        .writeState(rollout.state(), next)
        .onSuccess(
            stored -> {
              course.hasWrittenStage |= stored.equals(next);
              rollouts.onState(stored);
            })
        .onFailure(cause -> logFailure("rollout_stage_not_written", next, rank, cause))
        .onComplete(written -> onWriteEnded(course, written.succeeded()));
  }

  /** The status follows a stage at once, so that the order completes before its deadline. */
  private void onWriteEnded(Course course, boolean isWritten) {
    course.isWriting = false;
    if (!isWritten) {
      course.nextWriteAt = gateway.clock().instant().plus(WRITE_INTERVAL);
    }
  }

  private void confirmStatus(ServiceRollout rollout, Course course, int rank, Instant now) {
    if (rollout.state().isEmpty()) {
      return;
    }
    RolloutState state = rollout.state().get();
    if (course.statusOf == null || !isSameStatus(course.statusOf, state)) {
      course.statusOf = state;
      course.statusDueSince = now;
      course.isStatusWritten = false;
    }
    Duration delay = course.hasWrittenStage ? Duration.ZERO : CoordinatorRank.delay(rank);
    boolean isTime = !course.statusDueSince.plus(delay).isAfter(now);
    if (course.isStatusWritten || !isTime || course.isWriting || course.nextWriteAt.isAfter(now)) {
      return;
    }
    course.isWriting = true;
    store
        .writeStatus(state)
        .onSuccess(written -> onStatusWritten(course, state))
        .onFailure(cause -> logFailure("rollout_status_not_written", state, rank, cause))
        .onComplete(written -> onWriteEnded(course, written.succeeded()));
  }

  private static void onStatusWritten(Course course, RolloutState state) {
    if (course.statusOf != null && isSameStatus(course.statusOf, state)) {
      course.isStatusWritten = true;
    }
  }

  /** Stages that are not final have the same status. */
  private static boolean isSameStatus(RolloutState one, RolloutState other) {
    return one.stage().isFinal() || other.stage().isFinal()
        ? one.stage().equals(other.stage())
        : true;
  }

  private void logFailure(String event, RolloutState state, int rank, Throwable cause) {
    LOG.warn(
        event,
        field("service", state.service()),
        field("order", state.orderId()),
        field("stage", state.stage().label()),
        field("rank", rank),
        field("cause", cause));
  }
}
