package org.cactusseam.logic.query;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cactusseam.logic.rollout.PoolRolloutPlan;
import org.cactusseam.logic.rollout.RolloutStage;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.DurationText;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.ResultCode;

/** Translates the commands for roll-outs into the roll-out to record. */
final class RolloutOrders {

  /**
   * Shortest time to the deadline: 6 s remain for the comparison of the versions when shifting
   * starts 3 s before the deadline, and 1 s for the records.
   */
  private static final Duration MIN_DURATION = Duration.ofSeconds(10);

  private RolloutOrders() {}

  /** Returns the roll-out to record, or why none is needed or possible. */
  static Either<OrderTranslation, PoolRollout> start(
      Configuration configuration, Command.Roll roll) {
    PoolName pool = roll.pool();
    Optional<PoolRollout> known = configuration.rollout(pool);
    boolean isServed =
        configuration.anyMatch(BackendServer.class, server -> server.pool().equals(pool));
    if (!isServed) {
      return refused("pool " + pool + " has no servers");
    }
    if (roll.duration().compareTo(MIN_DURATION) < 0) {
      return refused("a roll-out takes at least " + DurationText.format(MIN_DURATION));
    }
    if (known.isPresent() && !PoolRolloutPlan.stage(known.get()).isFinal()) {
      boolean isSame =
          known.get().version().equals(roll.version())
              && known.get().durationMillis() == roll.duration().toMillis();
      return isSame
          ? unchanged("the roll-out of pool " + pool + " is already in progress")
          : refused(
              "another roll-out of pool "
                  + pool
                  + " is in progress; revert it or wait for its end");
    }
    List<String> replaced =
        versionsWithTraffic(configuration, pool, known).stream()
            .filter(version -> !version.equals(roll.version()))
            .sorted()
            .toList();
    if (replaced.isEmpty()) {
      return unchanged("pool " + pool + " already has this version");
    }
    return Either.right(
        new PoolRollout(
            pool,
            roll.version(),
            replaced,
            roll.duration().toMillis(),
            PoolRollout.NOT_RECORDED,
            0,
            false,
            new RolloutStage.Canary().label(),
            "ordered"));
  }

  private static List<String> versionsWithTraffic(
      Configuration configuration, PoolName pool, Optional<PoolRollout> known) {
    if (known.isPresent()) {
      return PoolRolloutPlan.stage(known.get()) instanceof RolloutStage.Completed
          ? List.of(known.get().version())
          : known.get().replaced();
    }
    return configuration.all(BackendServer.class).stream()
        .filter(server -> server.pool().equals(pool))
        .map(BackendServer::version)
        .distinct()
        .toList();
  }

  /** Returns the changed roll-out to record, or why none is needed or possible. */
  static Either<OrderTranslation, PoolRollout> change(
      Configuration configuration, Command.ChangeRollout order) {
    Optional<PoolRollout> found = configuration.rollout(order.pool());
    if (found.isEmpty()) {
      return refused("no roll-out of pool " + order.pool() + " was ordered");
    }
    PoolRollout rollout = found.get();
    RolloutStage stage = PoolRolloutPlan.stage(rollout);
    boolean isInForce =
        switch (order.change()) {
          case PAUSE -> rollout.paused() && !stage.isFinal();
          case RESUME -> !rollout.paused() && !stage.isFinal();
          case REVERT -> stage instanceof RolloutStage.Reverted;
        };
    if (isInForce) {
      return unchanged(
          "the roll-out of pool " + order.pool() + " is already in the requested state");
    }
    if (stage.isFinal()) {
      return refused("the roll-out of pool " + order.pool() + " is " + stage.label());
    }
    return Either.right(
        switch (order.change()) {
          case PAUSE -> rollout.withPaused(true);
          case RESUME -> rollout.withPaused(false);
          case REVERT ->
              rollout.withStage(
                  new RolloutStage.Reverted().label(), "reverted by an operator's command");
        });
  }

  private static Either<OrderTranslation, PoolRollout> refused(String message) {
    return Either.left(new OrderTranslation.Refused(ResultCode.INVALID_COMMAND, message));
  }

  private static Either<OrderTranslation, PoolRollout> unchanged(String message) {
    return Either.left(new OrderTranslation.Unchanged(message));
  }
}
