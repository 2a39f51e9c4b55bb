package org.cactusseam.logic.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.message.ShardRolloutReport;
import org.cactusseam.model.message.ShardRolloutReport.ResponseTotals;
import org.cactusseam.model.message.ShardRolloutReport.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against stages of a pool's roll-out at the wrong time or on too little evidence. */
class PoolRolloutPlanTest {

  private static final Instant DEADLINE = Instant.ofEpochSecond(1_000_000);

  @ParameterizedTest
  @CsvSource({
    "canary,    false, UNDECIDED, 6000,  ",
    "canary,    false, GOOD,      6000,  ",
    "canary,    false, BAD,       6000,  reverted",
    "canary,    false, GOOD,      3500,  shifting",
    "canary,    false, UNDECIDED, 3500,  reverted",
    "canary,    false, GOOD,      0,     reverted",
    "shifting,  false, GOOD,      3000,  ",
    "shifting,  false, BAD,       3000,  reverted",
    "shifting,  false, UNDECIDED, 2300,  completed",
    "shifting,  false, GOOD,      -5000, completed",
    "canary,    true,  GOOD,      3500,  ",
    "canary,    true,  UNDECIDED, 1,     ",
    "canary,    true,  BAD,       6000,  reverted",
    "canary,    true,  GOOD,      0,     reverted",
    "shifting,  true,  GOOD,      2300,  ",
    "shifting,  true,  GOOD,      0,     reverted",
    "completed, false, BAD,       1000,  ",
    "reverted,  false, GOOD,      1000,  ",
    "unknown,   false, GOOD,      3500,  "
  })
  void a_stage_follows_when_it_is_due(
      String stage, boolean paused, VersionTest.Kind kind, long millisLeft, String expected) {
    PoolRollout rollout = rollout(stage, paused);

    String next =
        PoolRolloutPlan.next(
                rollout,
                new VersionTest.Verdict(kind, ""),
                List.of(),
                DEADLINE.minusMillis(millisLeft))
            .map(PoolRollout::stage)
            .orElse(null);

    assertThat(next, is(expected));
  }

  @ParameterizedTest
  @CsvSource({
    "GOOD,      GOOD,      GOOD",
    "GOOD,      UNDECIDED, GOOD",
    "GOOD,      BAD,       BAD",
    "UNDECIDED, BAD,       BAD",
    "UNDECIDED, UNDECIDED, UNDECIDED"
  })
  void one_bad_shard_decides_for_the_pool(
      Verdict first, Verdict second, VersionTest.Kind expected) {
    assertThat(
        PoolRolloutPlan.combine(List.of(report(0, first), report(1, second))).kind(), is(expected));
    assertThat(
        PoolRolloutPlan.combine(List.of(report(1, second), report(0, first))).kind(), is(expected));
  }

  /**
   * Guards against a completed roll-out of a version that a partitioned owner, or one that the
   * first owner has not heard since its own pause, has found bad.
   */
  @ParameterizedTest
  @CsvSource({
    "GOOD,      2900, 2000, completed",
    "GOOD,      3000, 2000, ",
    "GOOD,      3000, 0,    reverted",
    "BAD,       9000, 2000, reverted",
    "UNDECIDED, 1000, 2000, completed",
  })
  void a_roll_out_completes_only_with_recent_reports_of_all_owners(
      Verdict verdictOfOther, long ageMillis, long millisLeft, String expected) {
    PoolRollout rollout = rollout("shifting", false);
    Instant now = DEADLINE.minusMillis(millisLeft);
    PoolRolloutReports reports = new PoolRolloutReports();
    reports.add(report(0, Verdict.GOOD), now);
    reports.add(report(1, verdictOfOther), now.minusMillis(ageMillis));
    List<ShardId> shards =
        List.of(report(0, Verdict.GOOD).shard(), report(1, Verdict.GOOD).shard());

    String next =
        PoolRolloutPlan.next(
                rollout, reports.verdict(rollout, now), reports.silent(rollout, shards, now), now)
            .map(PoolRollout::stage)
            .orElse(null);

    assertThat(next, is(expected));
  }

  /** Guards against a bad verdict that is forgotten when its shard gets another owner. */
  @Test
  void a_bad_verdict_outlasts_its_owner_but_not_its_roll_out() {
    PoolRolloutReports reports = new PoolRolloutReports();
    reports.add(report(0, Verdict.BAD), DEADLINE);
    reports.add(report(0, Verdict.GOOD), DEADLINE);

    assertThat(reports.badVerdict(rollout("shifting", false), DEADLINE).isPresent(), is(true));
    PoolRollout later =
        new PoolRollout(
            new PoolName("app"), "v2", List.of("v1"), 12_000, 8, 0, false, "shifting", "");
    assertThat(reports.badVerdict(later, DEADLINE).isPresent(), is(false));
    assertThat(
        reports.silent(later, List.of(report(0, Verdict.BAD).shard()), DEADLINE).size(), is(1));
  }

  private static PoolRollout rollout(String stage, boolean paused) {
    return new PoolRollout(
        new PoolName("app"),
        "v2",
        List.of("v1"),
        12_000,
        7,
        DEADLINE.toEpochMilli(),
        paused,
        stage,
        "");
  }

  private static ShardRolloutReport report(int shard, Verdict verdict) {
    return new ShardRolloutReport(
        new ShardId(new PoolName("app"), new RegionName("ost"), shard),
        7,
        verdict,
        "",
        ResponseTotals.NONE,
        ResponseTotals.NONE);
  }
}
