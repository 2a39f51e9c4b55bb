package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.RolloutOrder;
import org.cactusseam.model.gateway.ServerInstance;

/** An order as one VM knows it, with what the VM has sent and received since it read the order. */
public final class ServiceRollout {

  /** An order is read this long after the store has accepted it, unless the store is slow. */
  private static final Duration READ_DELAY = Duration.ofMillis(400);

  /** Peers answer a report without a stage, which is sent once a second, with the one they know. */
  private static final Duration LATER_STAGE_TIME = Duration.ofSeconds(1);

  private final RolloutOrder order;
  private final boolean mayBeOlderThanProcess;
  private final Instant readAt;
  private final ExposureLimit exposure;
  private final RolloutEvidence evidence = new RolloutEvidence();
  private Optional<RolloutState> state = Optional.empty();
  private Optional<String> holdReason = Optional.empty();
  private boolean switched;

  /**
   * Creates an order without a known stage.
   *
   * @param mayBeOlderThanProcess whether another process may have written a stage already
   */
  ServiceRollout(
      RolloutOrder order, Instant readAt, ExposureLimit exposure, boolean mayBeOlderThanProcess) {
    this.order = order;
    this.mayBeOlderThanProcess = mayBeOlderThanProcess;
    this.readAt = readAt;
    this.exposure = exposure;
  }

  /**
   * Returns the order.
   *
   * @return order as read
   */
  public RolloutOrder order() {
    return order;
  }

  /**
   * Returns the known state.
   *
   * @return state, empty if no stage is known
   */
  public Optional<RolloutState> state() {
    return state;
  }

  /**
   * Returns how much of the time to the deadline has elapsed.
   *
   * @return number from 0 to 1
   */
  public double progress(Instant now) {
    double elapsed = Duration.between(readAt, now).toMillis();
    return Math.clamp(elapsed / Math.max(1, order.duration().toMillis()), 0, 1);
  }

  /**
   * Returns the limit of the requests that this VM sends to the new version.
   *
   * @return limit with its counts
   */
  public ExposureLimit exposure() {
    return exposure;
  }

  /**
   * Returns the responses since the order was read.
   *
   * @return evidence of this VM
   */
  public RolloutEvidence evidence() {
    return evidence;
  }

  /**
   * Returns whether responses count as evidence.
   *
   * @return whether the stage is not final and the order tries out a version
   */
  public boolean isGatheringEvidence() {
    return state.filter(known -> known.stage().isFinal() || known.isRestoring()).isEmpty();
  }

  /**
   * Returns whether a server has the version that the order names.
   *
   * @return whether its version is the new one
   */
  public boolean isNew(ServerInstance server) {
    return server.version().equals(order.version());
  }

  /**
   * Returns whether other versions count as leaving.
   *
   * @return whether the order is draining, all requests of this VM go to the new version, and no VM
   *     has reported a bad verdict
   */
  public boolean isDraining() {
    return isPreparing() && (switched || state.filter(RolloutState::isRestoring).isPresent());
  }

  /**
   * Returns whether the runs of other versions are copied, so that they can be moved.
   *
   * @return whether the order is draining and no VM has reported a bad verdict
   */
  public boolean isPreparing() {
    return !isHeld()
        && state.filter(known -> known.stage() instanceof RolloutStage.Draining).isPresent();
  }

  /**
   * Decides whether all requests of this VM go to the new version. They do from the time at which
   * the exposure limit lasts until the deadline, and no longer once it is used up before.
   *
   * @param vms number of VMs that share the exposure limit
   * @param oldRuns runs of this VM on servers that are replaced
   */
  public void updateSwitch(int vms, int oldRuns, Instant now) {
    if (!isPreparing()) {
      switched = false;
      return;
    }
    switched =
        switched
            ? canStaySwitched(vms, now)
            : millisLeft(now) <= 0 || canTakeAll(vms, oldRuns, now);
  }

  /**
   * Returns whether the exposure limit still permits that all requests go to the new version.
   *
   * @param vms number of VMs that share the exposure limit
   * @return whether another request may be sent
   */
  public boolean canStaySwitched(int vms, Instant now) {
    return millisLeft(now) <= 0
        || exposure.hasCapacity(new ExposureLimit.Phase.Full(), vms)
        || canTakeAll(vms, 0, now);
  }

  private boolean canTakeAll(int vms, int moves, Instant now) {
    long elapsed = Duration.between(readAt, now).toMillis();
    return exposure.canTakeAll(vms, elapsed, millisLeft(now), moves);
  }

  /** Returns the time for which requests count against the exposure bound. */
  private long millisLeft(Instant now) {
    return state
        .map(known -> known.deadlineMillis() - now.toEpochMilli() + READ_DELAY.toMillis())
        .orElse(0L);
  }

  /** Counts a request that is sent for the first time, if the bound counts it. */
  public void recordRequest(Instant now) {
    if (isBeforeDeadline(now)) {
      exposure.recordRequest();
    }
  }

  /**
   * Returns whether the bound counts requests that arrive now. The time at which the order was read
   * shows the deadline only until the state is known, because a VM that restarts reads it late.
   */
  private boolean isBeforeDeadline(Instant now) {
    return state.isPresent() ? millisLeft(now) > 0 : readAt.plus(order.duration()).isAfter(now);
  }

  /** Returns the part of the exposure limit that applies, given that the stage is not final. */
  ExposureLimit.Phase phase(Instant now) {
    if (state.filter(known -> known.stage() instanceof RolloutStage.Canary).isPresent()) {
      return new ExposureLimit.Phase.Canary(progress(now));
    }
    double reserve = RolloutPlan.reserve(order.duration()).toMillis();
    return switched
        ? new ExposureLimit.Phase.Full()
        : new ExposureLimit.Phase.Ramp(Math.clamp(1 - millisLeft(now) / reserve, 0, 1));
  }

  /**
   * Returns the stage for the report of this VM.
   *
   * @return name of the stage, empty if none is known; draining only when no request of this VM
   *     goes to other versions any more
   */
  public String reportedStage() {
    return state
        .map(RolloutState::stage)
        .map(
            stage ->
                stage instanceof RolloutStage.Draining && !isDraining()
                    ? new RolloutStage.Shifting()
                    : stage)
        .map(RolloutStage::label)
        .orElse("");
  }

  boolean mayBeOlderThanProcess() {
    return mayBeOlderThanProcess;
  }

  /** Returns whether peers had time to state a later stage, which the store may have forgotten. */
  boolean hasAwaitedLaterStage(Instant now) {
    return !mayBeOlderThanProcess || !readAt.plus(LATER_STAGE_TIME).isAfter(now);
  }

  boolean isHeld() {
    return holdReason.isPresent();
  }

  /**
   * Returns the verdict that stopped requests to the new version.
   *
   * @return bad verdict of this VM or another one, empty without one; it is never withdrawn
   */
  public Optional<VersionTest.Verdict> badVerdict() {
    return holdReason.map(reason -> new VersionTest.Verdict(VersionTest.Kind.BAD, reason));
  }

  void hold(String reason) {
    holdReason = Optional.of(reason);
  }

  boolean accept(RolloutState stored) {
    if (stored.orderId() != order.id() || !state.map(stored::isAfter).orElse(true)) {
      return false;
    }
    state = Optional.of(stored);
    return true;
  }

  /** Returns the first state of the order, given the versions that have the traffic. */
  RolloutState initialState(Set<String> replaced) {
    Instant deadline = readAt.plus(order.duration()).minus(READ_DELAY);
    return new RolloutState(
        order.service(),
        order.id(),
        order.version(),
        replaced,
        deadline.toEpochMilli(),
        new RolloutStage.Canary(),
        "ordered");
  }
}
