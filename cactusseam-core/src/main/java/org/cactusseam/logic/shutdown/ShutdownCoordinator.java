package org.cactusseam.logic.shutdown;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Takes a node out of service without interrupting requests.
 *
 * <p>Requests that cannot be resumed are awaited as long as they are open, also after the drain
 * time: each has a deadline of its own, after which the daemon ends it. Only the second signal
 * interrupts them, and they are then answered "may have run".
 *
 * <p>A paused node acts on the first call after its pause, in the usual order. If its shards were
 * taken over meanwhile, the daemon reports that it owns none.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class ShutdownCoordinator {

  /**
   * Longest wait for shards, for {@code Leave} and for records of claims once nothing is open.
   * Peers recover all of them without this node, only later.
   */
  public static final Duration HANDOVER_LIMIT = Duration.ofSeconds(10);

  /** Longest wait for callers to take the last event of their streams. */
  public static final Duration FLUSH_LIMIT = Duration.ofSeconds(2);

  private final Clock clock;
  private final ShutdownSettings settings;
  private final List<ShutdownAction> actions = new ArrayList<>();
  private ShutdownPhase phase = ShutdownPhase.SERVING;
  private OpenRequests open = OpenRequests.NONE;
  private Instant phaseEnd = Instant.MAX;
  private Optional<Instant> askedToResume = Optional.empty();
  private boolean logAvailable = true;
  private boolean leaveRecorded;
  private int shards;
  private int claimRecords;

  /**
   * Creates the coordinator of a node that serves.
   *
   * @param settings times
   * @param clock source of time
   */
  public ShutdownCoordinator(ShutdownSettings settings, Clock clock) {
    this.settings = settings;
    this.clock = clock;
  }

  /** Notes a signal to end. The second one interrupts requests; the third ends the process. */
  public void signalReceived() {
    switch (phase) {
      case SERVING -> announce();
      case ANNOUNCED, DRAINING, HANDING_OVER -> interrupt();
      default -> exit();
    }
    advance();
  }

  private void announce() {
    enter(ShutdownPhase.ANNOUNCED, settings.grace());
    actions.add(new ShutdownAction.FailReadiness());
    actions.add(new ShutdownAction.HandOver(logAvailable));
  }

  private void interrupt() {
    if (phase == ShutdownPhase.ANNOUNCED) {
      actions.add(new ShutdownAction.RefuseNew());
    }
    enter(ShutdownPhase.INTERRUPTING, FLUSH_LIMIT);
    askToResume();
    actions.add(new ShutdownAction.AnswerUncertain());
  }

  private void askToResume() {
    if (askedToResume.isEmpty()) {
      askedToResume = Optional.of(clock.instant());
      actions.add(new ShutdownAction.RefuseWaiting());
      actions.add(new ShutdownAction.AskToResume());
    }
  }

  private void exit() {
    if (phase != ShutdownPhase.FINISHED) {
      enter(ShutdownPhase.FINISHED, Duration.ZERO);
      actions.add(new ShutdownAction.Exit());
    }
  }

  private void enter(ShutdownPhase next, Duration limit) {
    phase = next;
    phaseEnd = clock.instant().plus(limit);
  }

  /**
   * Notes the requests that are not answered yet.
   *
   * @param requests counts
   */
  public void openRequestsChanged(OpenRequests requests) {
    open = requests;
    advance();
  }

  /**
   * Notes whether the log can be read and appended to.
   *
   * @param available whether it can
   */
  public void logAvailabilityChanged(boolean available) {
    boolean changed = logAvailable != available;
    logAvailable = available;
    if (changed && isLeaving() && !leaveRecorded) {
      actions.add(new ShutdownAction.HandOver(available));
    }
    advance();
  }

  private boolean isLeaving() {
    return phase != ShutdownPhase.SERVING && phase != ShutdownPhase.FINISHED;
  }

  /** Notes that the log shows the {@code Leave} of this run. */
  public void leaveRecorded() {
    leaveRecorded = true;
    advance();
  }

  /**
   * Notes what others still need from this node.
   *
   * @param ownedShards shards that no successor has taken over yet
   * @param unrecordedClaims releases and ends of claims that the log does not show yet
   */
  public void handoverRemaining(int ownedShards, int unrecordedClaims) {
    shards = ownedShards;
    claimRecords = unrecordedClaims;
    advance();
  }

  /** Lets time pass. */
  public void tick() {
    advance();
  }

  private void advance() {
    if (phase == ShutdownPhase.ANNOUNCED && isOver(phaseEnd)) {
      actions.add(new ShutdownAction.RefuseNew());
      enter(ShutdownPhase.DRAINING, settings.drain());
    }
    if (phase == ShutdownPhase.DRAINING && isOver(phaseEnd)) {
      askToResume();
    }
    if (phase == ShutdownPhase.DRAINING && isDrained()) {
      enter(ShutdownPhase.HANDING_OVER, HANDOVER_LIMIT);
    }
    if (phase == ShutdownPhase.HANDING_OVER && (isHandedOver() || isOver(phaseEnd))) {
      exit();
    }
    if (phase == ShutdownPhase.INTERRUPTING && (open.sum() == 0 || isOver(phaseEnd))) {
      exit();
    }
  }

  private boolean isOver(Instant end) {
    return !clock.instant().isBefore(end);
  }

  private boolean isDrained() {
    boolean flushed = askedToResume.map(asked -> isOver(asked.plus(FLUSH_LIMIT))).orElse(false);
    return flushed ? open.unresumable() == 0 : open.sum() == 0;
  }

  private boolean isHandedOver() {
    boolean recorded = !logAvailable || (leaveRecorded && claimRecords == 0);
    return shards == 0 && recorded;
  }

  /**
   * Returns where the node is on its way out.
   *
   * @return phase
   */
  public ShutdownPhase phase() {
    return phase;
  }

  /**
   * Returns and forgets the actions since the last call.
   *
   * @return actions, in order
   */
  public List<ShutdownAction> drain() {
    List<ShutdownAction> result = List.copyOf(actions);
    actions.clear();
    return result;
  }
}
