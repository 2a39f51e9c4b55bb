package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusseam.logic.rollout.VersionTest.Kind;
import org.cactusseam.logic.rollout.VersionTest.Verdict;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.message.ShardRolloutReport;

/**
 * Decides when the stage of a pool's roll-out changes. The owner of the pool's first shard asks it.
 * The stages follow {@link RolloutPlan}, without draining: running requests of the replaced
 * versions end by themselves, because the operator stops their servers.
 */
public final class PoolRolloutPlan {

  private PoolRolloutPlan() {}

  /**
   * Returns the stage of a roll-out.
   *
   * @return stage; a name that this version does not know counts as reverted, which changes no
   *     traffic
   */
  public static RolloutStage stage(PoolRollout rollout) {
    return RolloutStage.find(rollout.stage()).orElseGet(RolloutStage.Reverted::new);
  }

  /**
   * Returns whether the stage permits requests to a version at all, apart from the exposure limit.
   *
   * @param version version of a server of the pool
   * @return whether its servers may receive requests
   */
  public static boolean mayServe(PoolRollout rollout, String version) {
    boolean isReplaced = rollout.replaced().contains(version);
    boolean isNew = rollout.version().equals(version);
    return switch (stage(rollout)) {
      case RolloutStage.Canary ignored -> isReplaced || isNew && !rollout.paused();
      case RolloutStage.Shifting ignored -> isReplaced || isNew && !rollout.paused();
      // A roll-out of a pool has no such stage.
      case RolloutStage.Draining ignored -> isReplaced;
      case RolloutStage.Completed ignored -> isNew;
      case RolloutStage.Reverted ignored -> isReplaced;
    };
  }

  /**
   * Decides on the next stage.
   *
   * @param rollout recorded roll-out
   * @param verdict result of the test, from all shards of the pool
   * @param silent shards of the pool whose owners have not reported recently. One of them may have
   *     a bad verdict, so the roll-out is not completed until all have reported, and is reverted at
   *     the deadline.
   * @return roll-out to record, empty if the stage does not change now
   */
  public static Optional<PoolRollout> next(
      PoolRollout rollout, Verdict verdict, Collection<ShardId> silent, Instant now) {
    RolloutStage stage = stage(rollout);
    if (stage.isFinal()) {
      return Optional.empty();
    }
    boolean isOver = !now.isBefore(Instant.ofEpochMilli(rollout.deadlineMillis()));
    if (verdict.kind() != Kind.BAD) {
      if (rollout.paused()) {
        return isOver ? Optional.of(reverted(rollout, "paused at the deadline")) : Optional.empty();
      }
      if (isOver && stage instanceof RolloutStage.Canary) {
        return Optional.of(
            reverted(rollout, "no good verdict before the deadline: " + verdict.reason()));
      }
    }
    RolloutState state =
        new RolloutState(
            rollout.pool().value(),
            rollout.order(),
            rollout.version(),
            Set.copyOf(rollout.replaced()),
            rollout.deadlineMillis(),
            stage,
            rollout.reason());
    Duration duration = Duration.ofMillis(rollout.durationMillis());
    Optional<RolloutState> next =
        RolloutPlan.next(state, new RolloutPlan.Situation(verdict, true, true, duration), now);
    boolean isCompleting =
        next.filter(each -> withoutDraining(each.stage()) instanceof RolloutStage.Completed)
            .isPresent();
    if (isCompleting && !silent.isEmpty()) {
      return isOver
          ? Optional.of(reverted(rollout, "no recent report of the owners of " + silent))
          : Optional.empty();
    }
    return next.map(
        each -> rollout.withStage(withoutDraining(each.stage()).label(), each.reason()));
  }

  private static PoolRollout reverted(PoolRollout rollout, String reason) {
    return rollout.withStage(new RolloutStage.Reverted().label(), reason);
  }

  private static RolloutStage withoutDraining(RolloutStage stage) {
    return stage instanceof RolloutStage.Draining ? new RolloutStage.Completed() : stage;
  }

  /**
   * Combines the verdicts of the shards of a pool. One bad verdict suffices, because the shards run
   * the same version; a shard without servers of the new version has no evidence and is undecided.
   *
   * @param reports latest report of each shard
   * @return verdict for the pool
   */
  static Verdict combine(Collection<ShardRolloutReport> reports) {
    Optional<Verdict> decided =
        find(reports, ShardRolloutReport.Verdict.BAD)
            .or(() -> find(reports, ShardRolloutReport.Verdict.GOOD));
    if (decided.isPresent()) {
      return decided.get();
    }
    return new Verdict(
        Kind.UNDECIDED,
        reports.stream()
            .map(report -> report.shard() + ": " + report.reason())
            .collect(Collectors.joining("; ")));
  }

  private static Optional<Verdict> find(
      Collection<ShardRolloutReport> reports, ShardRolloutReport.Verdict kind) {
    return reports.stream()
        .filter(report -> report.verdict() == kind)
        .findFirst()
        .map(
            report ->
                new Verdict(Kind.valueOf(kind.name()), report.shard() + ": " + report.reason()));
  }
}
