package org.cactusseam.logic.rollout;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Stage of an order. Completed and reverted are final. */
public sealed interface RolloutStage {

  /** A few requests go to the new version. */
  record Canary() implements RolloutStage {}

  /** Requests go to the new version while it has capacity and the exposure limit permits it. */
  record Shifting() implements RolloutStage {}

  /** All requests go to the new version; runs on old servers are moved. */
  record Draining() implements RolloutStage {}

  /** The new version has replaced the old one. */
  record Completed() implements RolloutStage {}

  /** The old version keeps the traffic. */
  record Reverted() implements RolloutStage {}

  /**
   * Returns all stages.
   *
   * @return stages in the order in which a successful roll-out passes them, then the reverted one
   */
  static List<RolloutStage> all() {
    return Arrays.asList(
        new Canary(), new Shifting(), new Draining(), new Completed(), new Reverted());
  }

  /**
   * Returns the name in records and log lines.
   *
   * @return name in lower case
   */
  default String label() {
    return switch (this) {
      case Canary ignored -> "canary";
      case Shifting ignored -> "shifting";
      case Draining ignored -> "draining";
      case Completed ignored -> "completed";
      case Reverted ignored -> "reverted";
    };
  }

  /**
   * Finds a stage by its name.
   *
   * @return stage, empty if the name is unknown
   */
  static Optional<RolloutStage> find(String label) {
    return all().stream().filter(stage -> stage.label().equals(label)).findFirst();
  }

  /**
   * Returns whether no other stage follows.
   *
   * @return whether the stage is completed or reverted
   */
  default boolean isFinal() {
    return switch (this) {
      case Canary ignored -> false;
      case Shifting ignored -> false;
      case Draining ignored -> false;
      case Completed ignored -> true;
      case Reverted ignored -> true;
    };
  }

  /**
   * Returns whether this stage may replace another one of the same order.
   *
   * @param other stage that is known
   * @return whether this stage is later
   */
  default boolean isAfter(RolloutStage other) {
    return !other.isFinal() && all().indexOf(this) > all().indexOf(other);
  }
}
