package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.logic.rollout.VersionTest.Kind;
import org.cactusseam.logic.rollout.VersionTest.Verdict;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.message.ShardRolloutReport;

/**
 * Latest reports of the owners of all shards about the roll-outs of their pools.
 *
 * <p>Not thread-safe; used by the control thread only.
 */
public final class PoolRolloutReports {

  /**
   * Age from which a report is not used for a decision. Owners report once a second, so that two
   * reports in succession may be lost. A bad verdict does not expire.
   */
  private static final Duration VALIDITY = Duration.ofSeconds(3);

  private final Map<ShardId, Received> reports = new HashMap<>();

  private record Received(ShardRolloutReport report, Instant at) {

    private boolean isBad() {
      return report.verdict() == ShardRolloutReport.Verdict.BAD;
    }

    private boolean isUsable(Instant now) {
      return isBad() || now.isBefore(at.plus(VALIDITY));
    }
  }

  /**
   * Adds a report. It does not replace a bad verdict, which the next owner of the shard does not
   * know.
   *
   * @param report report of the owner of one shard
   * @param now time at which it was received
   */
  public void add(ShardRolloutReport report, Instant now) {
    Received known = reports.get(report.shard());
    boolean isKnownBad = known != null && known.isBad() && known.report.order() == report.order();
    if (!isKnownBad) {
      reports.put(report.shard(), new Received(report, now));
    }
  }

  /**
   * Combines the verdicts of the shards of a pool. One bad verdict suffices, because the shards run
   * the same version; a shard without servers of the new version has no evidence and is undecided.
   *
   * @param rollout roll-out of the pool
   * @return verdict for the pool, without the reports that are too old
   */
  public Verdict verdict(PoolRollout rollout, Instant now) {
    List<ShardRolloutReport> usable =
        reports.values().stream()
            .filter(each -> each.report.order() == rollout.order())
            .filter(each -> each.report.shard().pool().equals(rollout.pool()))
            .filter(each -> each.isUsable(now))
            .map(Received::report)
            .toList();
    return PoolRolloutPlan.combine(usable);
  }

  /**
   * Returns the bad verdict of any owner.
   *
   * @param rollout roll-out of the pool
   * @return verdict, empty if no owner has reported one
   */
  public Optional<Verdict> badVerdict(PoolRollout rollout, Instant now) {
    return Optional.of(verdict(rollout, now)).filter(verdict -> verdict.kind() == Kind.BAD);
  }

  /**
   * Finds the shards whose owners may have a bad verdict that is not known here.
   *
   * @param rollout roll-out of the pool
   * @param shards all shards of the pool
   * @return shards without a usable report about this roll-out
   */
  public List<ShardId> silent(PoolRollout rollout, Collection<ShardId> shards, Instant now) {
    return shards.stream()
        .filter(
            shard ->
                Optional.ofNullable(reports.get(shard))
                    .filter(each -> each.report.order() == rollout.order())
                    .filter(each -> each.isUsable(now))
                    .isEmpty())
        .toList();
  }

  /**
   * Returns the latest report of each shard.
   *
   * @return reports of any age
   */
  public List<ShardRolloutReport> latest() {
    return reports.values().stream().map(Received::report).toList();
  }
}
