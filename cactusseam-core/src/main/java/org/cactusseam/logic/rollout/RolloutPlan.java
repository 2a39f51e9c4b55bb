package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Decides when the stage of an order changes. */
public final class RolloutPlan {

  /** Part of the duration that is reserved for shifting and draining. */
  private static final double RESERVE_SHARE = 0.3;

  /** Two takeovers of 2 s do not fit into less, one does. */
  private static final Duration MIN_RESERVE = Duration.ofSeconds(3);

  /** Requests in this time count against the exposure bound if the version turns bad in it. */
  private static final Duration MAX_RESERVE = Duration.ofSeconds(6);

  /** Part of the duration that is reserved for draining. */
  private static final double DRAINING_SHARE = 0.2;

  /** A copy of a run takes about 0.5 s, and several from one engine follow each other. */
  private static final Duration MIN_DRAINING = Duration.ofSeconds(2);

  private static final Duration MAX_DRAINING = Duration.ofSeconds(4);

  /**
   * Time after the deadline in which VMs report that they have switched. The deadline in the state
   * is up to 0.4 s too early, and a report is sent every 0.2 s.
   */
  private static final Duration REPORT_TIME = Duration.ofMillis(800);

  /** Time after the deadline at which an order that cannot drain is given up. */
  private static final Duration MAX_OVERTIME = Duration.ofSeconds(20);

  private RolloutPlan() {}

  /**
   * Inputs of a decision.
   *
   * @param verdict result of the test of the new version
   * @param hasSwitched whether all requests of every VM go to the new version
   * @param isDrained whether nothing runs on the servers that are replaced
   * @param duration time from the order to its deadline
   */
  public record Situation(
      VersionTest.Verdict verdict, boolean hasSwitched, boolean isDrained, Duration duration) {}

  /**
   * Decides on the next stage.
   *
   * @param state current state
   * @return state to store, empty if the stage does not change now
   */
  public static Optional<RolloutState> next(RolloutState state, Situation situation, Instant now) {
    if (state.stage().isFinal()) {
      return Optional.empty();
    }
    if (state.isRestoring()) {
      return restore(state, situation);
    }
    if (situation.verdict().kind() == VersionTest.Kind.BAD) {
      return Optional.of(state.in(new RolloutStage.Reverted(), situation.verdict().reason()));
    }
    Instant deadline = Instant.ofEpochMilli(state.deadlineMillis());
    Duration duration = situation.duration();
    return switch (state.stage()) {
      case RolloutStage.Canary ignored -> {
        if (now.isBefore(deadline.minus(reserve(duration)))) {
          yield Optional.empty();
        }
        yield Optional.of(
            situation.verdict().kind() == VersionTest.Kind.GOOD
                ? state.in(new RolloutStage.Shifting(), situation.verdict().reason())
                : state.in(
                    new RolloutStage.Reverted(),
                    "no verdict in time: " + situation.verdict().reason()));
      }
      case RolloutStage.Shifting ignored ->
          now.isBefore(deadline.minus(draining(duration)))
              ? Optional.empty()
              : Optional.of(state.in(new RolloutStage.Draining(), situation.verdict().reason()));
      case RolloutStage.Draining ignored -> {
        if (situation.isDrained()) {
          yield Optional.of(state.in(new RolloutStage.Completed(), situation.verdict().reason()));
        }
        if (!situation.hasSwitched() && !now.isBefore(deadline.plus(REPORT_TIME))) {
          yield Optional.of(
              state.in(
                  new RolloutStage.Reverted(),
                  "the exposure bound does not permit to complete in time"));
        }
        yield now.isBefore(deadline.plus(MAX_OVERTIME))
            ? Optional.empty()
            : Optional.of(
                state.in(new RolloutStage.Reverted(), "runs of old servers did not end in time"));
      }
      case RolloutStage.Completed ignored -> Optional.empty();
      case RolloutStage.Reverted ignored -> Optional.empty();
    };
  }

  private static Optional<RolloutState> restore(RolloutState state, Situation situation) {
    if (!(state.stage() instanceof RolloutStage.Draining)) {
      return Optional.of(
          state.in(new RolloutStage.Draining(), "the version already has the traffic"));
    }
    return situation.isDrained()
        ? Optional.of(state.in(new RolloutStage.Completed(), state.reason()))
        : Optional.empty();
  }

  static Duration reserve(Duration duration) {
    return clamp(duration, RESERVE_SHARE, MIN_RESERVE, MAX_RESERVE);
  }

  private static Duration draining(Duration duration) {
    return clamp(duration, DRAINING_SHARE, MIN_DRAINING, MAX_DRAINING);
  }

  private static Duration clamp(Duration duration, double share, Duration min, Duration max) {
    long millis = (long) (share * duration.toMillis());
    return Duration.ofMillis(Math.max(min.toMillis(), Math.min(max.toMillis(), millis)));
  }
}
