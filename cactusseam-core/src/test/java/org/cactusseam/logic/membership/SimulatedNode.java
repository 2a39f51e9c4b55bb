package org.cactusseam.logic.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.control.InForceEvent;
import org.cactusseam.logic.control.InForceTracker;
import org.cactusseam.logic.control.RecordOutcome;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.Handover;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.PeerStatus;
import org.cactusseam.model.control.RunId;

/**
 * One entry daemon of a {@link ClusterSimulation}: the state machines under test with a simulated
 * daemon instead of sockets.
 */
final class SimulatedNode {

  /** Validity of permits (1 s) with an allowance for simulated clocks that run up to 1% fast. */
  private static final Duration PERMIT_VALIDITY = Duration.ofMillis(1050);

  private final ClusterSimulation cluster;
  private final SkewedClock clock;
  private final List<Runnable> inbox = new ArrayList<>();
  private final Map<ShardId, Long> epochs = new HashMap<>();
  final NodeName name;
  final RegionName region;
  ControlState state = new ControlState();
  MembershipCoordinator coordinator;
  InForceTracker tracker;
  int run;
  boolean processUp;
  boolean vmUp;
  boolean paused;
  boolean logCut;
  boolean isolated;

  SimulatedNode(ClusterSimulation cluster, String name, String region, SkewedClock clock) {
    this.cluster = cluster;
    this.name = new NodeName(name);
    this.region = new RegionName(region);
    this.clock = clock;
    start();
  }

  final void start() {
    run++;
    processUp = true;
    vmUp = true;
    paused = false;
    inbox.clear();
    epochs.clear();
    state = new ControlState();
    FailureDomainName domain = new FailureDomainName(region.value() + "-1");
    String boot = String.format("boot%04d", run);
    Member member = new Member(name, boot, "127.0.0.1", 1, domain, region);
    coordinator = new MembershipCoordinator(member, cluster.settings, clock);
    tracker = new InForceTracker(clock, PERMIT_VALIDITY);
    poll();
    tick();
    readVmList();
  }

  void stop(boolean withVm) {
    processUp = false;
    vmUp = !withVm;
    run++;
    cluster.recordVmHistory();
  }

  void resume() {
    paused = false;
    List<Runnable> waiting = List.copyOf(inbox);
    inbox.clear();
    waiting.forEach(Runnable::run);
  }

  /**
   * Runs a step of this process after a delay. It is discarded if the process has ended by then,
   * and deferred while the process is paused.
   */
  void runLater(long delayMillis, Runnable step) {
    int expected = run;
    cluster.schedule(
        delayMillis,
        () -> {
          if (run == expected && processUp) {
            if (paused) {
              inbox.add(step);
            } else {
              step.run();
            }
          }
        });
  }

  private void poll() {
    Instant sentAt = clock.instant();
    int expected = run;
    cluster.schedule(
        cluster.latency(), () -> cluster.serveRead(this, expected, sentAt, state.nextOffset(), 0));
  }

  void readAnswered(Instant sentAt, List<ClusterSimulation.Stored> records, long end) {
    records.forEach(this::apply);
    coordinator.onLogRead(sentAt, state.nextOffset() >= end);
    performActions();
    poll();
  }

  void readFailed() {
    coordinator.onLogReadFailed();
    poll();
  }

  void apply(ClusterSimulation.Stored stored) {
    if (stored.offset() != state.nextOffset()) {
      return;
    }
    Configuration before = state.configuration();
    RecordOutcome verdict = state.apply(stored.offset(), stored.atMillis(), stored.record());
    coordinator.onStateApplied(state);
    tracker.onStateApplied(state);
    if (stored.record() instanceof ControlRecord.Change change
        && change.commandId().startsWith("order-")
        && verdict == RecordOutcome.ACCEPTED) {
      tracker.trackCommand(
          change.commandId(),
          stored.offset(),
          InForceTracker.affected(change.key(), before, state.configuration(), state.owners()));
    }
  }

  private void tick() {
    coordinator.tick();
    performActions();
    tracker.onStatus(coordinator.status());
    tracker.tick();
    for (InForceEvent event : tracker.drain()) {
      if (event instanceof InForceEvent.InForce accepted) {
        cluster.recordAccepted(this, accepted);
      }
    }
    tracker.unconfirmedOwners().forEach(owner -> cluster.requestStatus(this, owner));
    runLater(100, this::tick);
  }

  private void readVmList() {
    Instant asOf = clock.instant();
    cluster.vmList().ifPresent(shown -> runLater(20, () -> coordinator.onVmListRead(shown, asOf)));
    runLater(1000, this::readVmList);
  }

  void performActions() {
    for (MembershipAction action : coordinator.drain()) {
      switch (action) {
        case MembershipAction.Append append -> cluster.append(this, append.record());
        case MembershipAction.SendPing ping -> ping(ping.to(), ping.sequence());
        case MembershipAction.FetchRecords fetch -> fetch(fetch.peer(), fetch.fromOffset());
        case MembershipAction.SendHandover sent -> handOver(sent.handover());
        case MembershipAction.AcknowledgeHandover sent -> acknowledge(sent.handover());
        case MembershipAction.BecomeOwner become -> epochs.put(become.shard(), become.epoch());
        case MembershipAction.StopOwning stop -> epochs.remove(stop.shard());
      }
    }
  }

  private void ping(RunId to, long sequence) {
    Instant sentAt = clock.instant();
    cluster.send(
        this,
        to.node(),
        peer -> {
          PeerStatus status = peer.coordinator.status();
          cluster.send(peer, name, own -> own.pong(sequence, status), () -> {});
        },
        () ->
            runLater(cluster.latency(), () -> coordinator.onConnectionRefused(to.node(), sentAt)));
  }

  private void pong(long sequence, PeerStatus status) {
    coordinator.onPong(sequence, status);
    tracker.onStatus(status);
    performActions();
  }

  private void fetch(RunId peer, long from) {
    cluster.send(
        this,
        peer.node(),
        other -> {
          List<ClusterSimulation.Stored> records = cluster.records(from, other.state.nextOffset());
          cluster.send(other, name, own -> own.fetched(records), () -> {});
        },
        () -> {});
  }

  private void fetched(List<ClusterSimulation.Stored> records) {
    records.forEach(this::apply);
    performActions();
  }

  private void handOver(Handover handover) {
    cluster.send(
        this,
        handover.to().node(),
        peer -> {
          peer.coordinator.onHandover(handover);
          peer.performActions();
        },
        () -> {});
  }

  private void acknowledge(Handover handover) {
    cluster.send(
        this,
        handover.from().node(),
        peer -> peer.coordinator.onHandoverAcknowledged(handover),
        () -> {});
  }

  boolean mayGrant(ShardId shard) {
    return processUp && coordinator.mayGrant(shard);
  }

  Optional<Long> epoch(ShardId shard) {
    return Optional.ofNullable(epochs.get(shard));
  }
}
