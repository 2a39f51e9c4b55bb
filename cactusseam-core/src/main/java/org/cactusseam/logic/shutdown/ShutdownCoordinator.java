package org.cactusseam.logic.shutdown;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Coordinates the shutdown of a daemon without interrupting open requests.
 *
 * <p>Requests that cannot be resumed are awaited even after the drain time, because each has a
 * deadline after which the daemon ends it. Only a second signal interrupts them; they then end with
 * the result "may have run".
 *
 * <p>After a pause of the process, the first call performs the steps that are due in the usual
 * order. If the shards were taken over during the pause, the daemon reports that it owns none.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
public final class ShutdownCoordinator {

  /**
   * Maximum time to wait for the handover of shards, the {@code Leave} record and claim records
   * once no requests are open. Peers can recover from a missing one without this daemon, but it
   * takes longer.
   */
  public static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(10);

  /** Maximum time to wait for callers to read the last event of their streams. */
  public static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(2);

  private final Clock clock;
  private final ShutdownSettings settings;
  private final List<ShutdownAction> actions = new ArrayList<>();
  private ShutdownPhase phase = ShutdownPhase.SERVING;
  private OpenRequests openRequests = OpenRequests.NONE;
  private Instant phaseEnd = Instant.MAX;
  private Optional<Instant> resumeRequestedAt = Optional.empty();
  private boolean logAvailable = true;
  private boolean leaveRecorded;
  private int remainingShards;
  private int remainingClaimRecords;

  /**
   * Creates the coordinator of a daemon that is in service.
   *
   * @param settings durations of the phases
   * @param clock clock that determines when a phase ends
   */
  public ShutdownCoordinator(ShutdownSettings settings, Clock clock) {
    this.settings = settings;
    this.clock = clock;
  }

  /**
   * Handles a termination signal. The first starts the shutdown, the second interrupts open
   * requests, and the third exits the process.
   */
  public void signalReceived() {
    switch (phase) {
      case SERVING -> startGracePeriod();
      case ANNOUNCED, DRAINING, HANDING_OVER -> interrupt();
      default -> exit();
    }
    advance();
  }

  private void startGracePeriod() {
    enterPhase(ShutdownPhase.ANNOUNCED, settings.grace());
    actions.add(new ShutdownAction.FailReadiness());
    actions.add(new ShutdownAction.HandOver(logAvailable));
  }

  private void interrupt() {
    if (phase == ShutdownPhase.ANNOUNCED) {
      actions.add(new ShutdownAction.RefuseNew());
    }
    enterPhase(ShutdownPhase.INTERRUPTING, FLUSH_TIMEOUT);
    requestResume();
    actions.add(new ShutdownAction.AnswerUncertain());
  }

  private void requestResume() {
    if (resumeRequestedAt.isEmpty()) {
      resumeRequestedAt = Optional.of(clock.instant());
      actions.add(new ShutdownAction.RefuseWaiting());
      actions.add(new ShutdownAction.AskToResume());
    }
  }

  private void exit() {
    if (phase != ShutdownPhase.FINISHED) {
      enterPhase(ShutdownPhase.FINISHED, Duration.ZERO);
      actions.add(new ShutdownAction.Exit());
    }
  }

  private void enterPhase(ShutdownPhase next, Duration limit) {
    phase = next;
    phaseEnd = clock.instant().plus(limit);
  }

  /**
   * Updates the numbers of open requests.
   *
   * @param requests numbers of requests that are not completed
   */
  public void openRequestsChanged(OpenRequests requests) {
    openRequests = requests;
    advance();
  }

  /**
   * Updates whether the log is available. If this changes before {@code Leave} is recorded, the
   * handover is repeated.
   *
   * @param available whether the log can be read and appended to
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

  /** Records that the {@code Leave} record of this process was read back from the log. */
  public void leaveRecorded() {
    leaveRecorded = true;
    advance();
  }

  /**
   * Updates the work that must complete before the process exits.
   *
   * @param ownedShards number of owned shards that no successor has taken over yet
   * @param unrecordedClaims number of releases and completions of claims that have not been read
   *     back from the log
   */
  public void handoverRemaining(int ownedShards, int unrecordedClaims) {
    remainingShards = ownedShards;
    remainingClaimRecords = unrecordedClaims;
    advance();
  }

  /** Advances to the phase that is due. */
  public void tick() {
    advance();
  }

  private void advance() {
    if (phase == ShutdownPhase.ANNOUNCED && hasPassed(phaseEnd)) {
      actions.add(new ShutdownAction.RefuseNew());
      enterPhase(ShutdownPhase.DRAINING, settings.drain());
    }
    if (phase == ShutdownPhase.DRAINING && hasPassed(phaseEnd)) {
      requestResume();
    }
    if (phase == ShutdownPhase.DRAINING && isDrained()) {
      enterPhase(ShutdownPhase.HANDING_OVER, HANDOVER_TIMEOUT);
    }
    if (phase == ShutdownPhase.HANDING_OVER && (isHandedOver() || hasPassed(phaseEnd))) {
      exit();
    }
    if (phase == ShutdownPhase.INTERRUPTING && (openRequests.total() == 0 || hasPassed(phaseEnd))) {
      exit();
    }
  }

  private boolean hasPassed(Instant end) {
    return !clock.instant().isBefore(end);
  }

  private boolean isDrained() {
    boolean flushed =
        resumeRequestedAt
            .map(requestedAt -> hasPassed(requestedAt.plus(FLUSH_TIMEOUT)))
            .orElse(false);
    return flushed ? openRequests.unresumable() == 0 : openRequests.total() == 0;
  }

  private boolean isHandedOver() {
    boolean recorded = !logAvailable || (leaveRecorded && remainingClaimRecords == 0);
    return remainingShards == 0 && recorded;
  }

  /**
   * Returns the current phase of the shutdown.
   *
   * @return current phase
   */
  public ShutdownPhase phase() {
    return phase;
  }

  /**
   * Removes and returns the pending actions.
   *
   * @return actions since the last call, in the order in which they must be performed
   */
  public List<ShutdownAction> drain() {
    List<ShutdownAction> result = List.copyOf(actions);
    actions.clear();
    return result;
  }
}
