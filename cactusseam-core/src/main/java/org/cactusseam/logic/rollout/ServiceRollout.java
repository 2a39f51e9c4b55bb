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

  private final RolloutOrder order;
  private final Instant readAt;
  private final ExposureLimit exposure;
  private final RolloutEvidence evidence = new RolloutEvidence();
  private Optional<RolloutState> state = Optional.empty();
  private boolean held;

  ServiceRollout(RolloutOrder order, Instant readAt, ExposureLimit exposure) {
    this.order = order;
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
   * @return whether the order is draining and no VM has reported a bad verdict
   */
  public boolean isDraining() {
    return !held
        && state.filter(known -> known.stage() instanceof RolloutStage.Draining).isPresent();
  }

  boolean isHeld() {
    return held;
  }

  void hold() {
    held = true;
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
