package org.cactusseam.logic.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.cactusseam.model.gateway.RolloutOrder;
import org.cactusseam.model.gateway.RolloutSettings;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.VersionFilter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against stages at the wrong time, and against more exposure than the bound. */
class RolloutPlanTest {

  private static final Instant DEADLINE = Instant.ofEpochSecond(1_000_000);

  private static RolloutState state(String stage, String replaced) {
    return new RolloutState(
        "plain",
        7,
        "v2",
        Set.of(replaced),
        DEADLINE.toEpochMilli(),
        RolloutStage.find(stage).orElseThrow(),
        "test");
  }

  @ParameterizedTest
  @CsvSource({
    "canary,    v1, UNDECIDED, false, 6000,  ",
    "canary,    v1, GOOD,      false, 6000,  ",
    "canary,    v1, BAD,       false, 6000,  reverted",
    "canary,    v1, GOOD,      false, 3500,  shifting",
    "canary,    v1, UNDECIDED, false, 3500,  reverted",
    "shifting,  v1, GOOD,      false, 3000,  ",
    "shifting,  v1, UNDECIDED, false, 2300,  draining",
    "shifting,  v1, BAD,       false, 3000,  reverted",
    "draining,  v1, GOOD,      false, 1000,  ",
    "draining,  v1, GOOD,      false, -1000, ",
    "draining,  v1, GOOD,      true,  1000,  completed",
    "draining,  v1, BAD,       true,  1000,  reverted",
    "completed, v1, BAD,       true,  1000,  ",
    "reverted,  v1, GOOD,      true,  1000,  ",
    "canary,    v2, UNDECIDED, false, 9000,  draining",
    "draining,  v2, UNDECIDED, true,  9000,  completed"
  })
  void a_stage_follows_when_it_is_due(
      String stage,
      String replaced,
      VersionTest.Kind kind,
      boolean isDrained,
      long millisLeft,
      String expected) {
    RolloutPlan.Situation situation =
        new RolloutPlan.Situation(
            new VersionTest.Verdict(kind, "test"), true, isDrained, Duration.ofSeconds(12));
    String next =
        RolloutPlan.next(state(stage, replaced), situation, DEADLINE.minusMillis(millisLeft))
            .map(state -> state.stage().label())
            .orElse(null);
    assertThat(next, is(expected));
  }

  @Test
  void an_order_is_reverted_if_the_bound_keeps_a_vm_from_switching_before_the_deadline() {
    RolloutPlan.Situation situation =
        new RolloutPlan.Situation(
            new VersionTest.Verdict(VersionTest.Kind.GOOD, "test"),
            false,
            false,
            Duration.ofSeconds(12));
    RolloutState draining = state("draining", "v1");
    assertThat(RolloutPlan.next(draining, situation, DEADLINE), is(Optional.empty()));
    assertThat(
        RolloutPlan.next(draining, situation, DEADLINE.plusSeconds(1)).orElseThrow().stage(),
        is(new RolloutStage.Reverted()));
  }

  /**
   * Guards against a version that turns bad in shifting or draining and then receives more than the
   * bound although its faults are not reported in time.
   */
  @ParameterizedTest
  @CsvSource({"1, 50, 9", "1, 230, 12", "6, 100, 12", "24, 100, 20", "6, 30, 60"})
  void no_stage_sends_more_than_the_bound(int vms, int perSecond, int seconds) {
    RolloutSettings settings = new RolloutSettings(0.1, 50, Duration.ofSeconds(5));
    // The deadline in the state is earlier by the time in which an order is read.
    Instant end = DEADLINE.plusMillis(400);
    Instant start = end.minusSeconds(seconds);
    RolloutOrder order = new RolloutOrder("plain", "v2", Duration.ofSeconds(seconds), 7);
    List<RolloutTable> tables =
        IntStream.range(0, vms)
            .mapToObj(vm -> new RolloutTable(settings, Duration.ofSeconds(4), "vm-" + vm))
            .toList();
    for (RolloutTable table : tables) {
      ServerInstance old =
          new ServerInstance(
              "s-1", 1, "plain", "127.0.0.1", 8_000, "a", 24, false, Duration.ZERO, "v1");
      table.update("plain", List.of(old), start.minusSeconds(9));
      table.update("plain", List.of(old), start);
      table.onOrder(order, start);
      table.onState(state("canary", "v1"));
    }
    int sent = 0;
    int requests = 0;
    int lastOld = 0;
    for (int tick = 0; tick < seconds * perSecond; tick++) {
      Instant now = start.plusMillis(tick * 1_000L / perSecond);
      RolloutTable table = tables.get(tick % vms);
      ServiceRollout rollout = table.find("plain").orElseThrow();
      long left = Duration.between(now, DEADLINE).toMillis();
      String stage = left < 2_500 ? "draining" : left < 4_000 ? "shifting" : "canary";
      table.onState(state(stage, "v1"));
      rollout.updateSwitch(vms, 0, now);
      requests++;
      rollout.exposure().recordRequest();
      VersionFilter first = table.choices("plain", true, vms, now).getFirst().versions();
      if (first.equals(VersionFilter.only(Set.of("v2")))) {
        rollout.exposure().recordSent();
        sent++;
      } else {
        lastOld = tick;
      }
    }
    assertThat((double) sent, is(lessThanOrEqualTo(0.1 * requests + 50)));
    // A good version completes before the deadline only if all requests go to it some time before.
    assertThat(lastOld, is(lessThan(seconds * perSecond - perSecond / 4)));
  }

  @Test
  void an_order_drains_only_when_every_vm_has_said_so_in_that_stage() {
    RolloutReports reports = new RolloutReports();
    reports.add(new RolloutReport("vm-1", 1, "plain", 7, "draining", 0, Map.of()), DEADLINE);
    reports.add(new RolloutReport("vm-2", 1, "plain", 7, "shifting", 0, Map.of()), DEADLINE);
    assertThat(reports.isDrained(List.of("vm-1"), DEADLINE), is(true));
    // A VM may have started runs since an old report.
    assertThat(reports.isDrained(List.of("vm-1"), DEADLINE.plusSeconds(2)), is(false));
    assertThat(reports.isDrained(List.of("vm-1", "vm-2"), DEADLINE), is(false));
    assertThat(reports.isDrained(List.of("vm-1", "vm-3"), DEADLINE), is(false));
    reports.add(new RolloutReport("vm-2", 1, "plain", 7, "draining", 1, Map.of()), DEADLINE);
    assertThat(reports.isDrained(List.of("vm-1", "vm-2"), DEADLINE), is(false));
  }

  @Test
  void counts_of_a_vm_are_added_once_and_a_restarted_vm_starts_anew() {
    EvidenceKey key = new EvidenceKey(EvidenceKey.Measure.RESPONSE, "r", true, "a", "s-1");
    RolloutReports reports = new RolloutReports();
    reports.add(report(1, key, 5), DEADLINE);
    assertThat(reports.add(report(1, key, 7), DEADLINE).get(key).failures(), is(2));
    assertThat(reports.add(report(2, key, 1), DEADLINE).get(key).failures(), is(1));
  }

  private static RolloutReport report(long startedAt, EvidenceKey key, int failures) {
    return new RolloutReport(
        "vm-1",
        startedAt,
        "plain",
        7,
        "canary",
        0,
        Map.of(key, new ResponseCounts(0, failures, List.of())));
  }

  @Test
  void the_candidates_change_only_where_one_is_gone() {
    List<String> vms = IntStream.range(0, 20).mapToObj(index -> "vm-" + index).toList();
    List<String> candidates = CoordinatorRank.candidates("plain", 7, vms);
    assertThat(candidates, hasSize(3));
    List<String> others = vms.stream().filter(vm -> !vm.equals(candidates.getFirst())).toList();
    assertThat(
        CoordinatorRank.candidates("plain", 7, others).subList(0, 2), is(candidates.subList(1, 3)));
    assertThat(CoordinatorRank.candidates("plain", 8, vms), is(not(candidates)));
    assertThat(CoordinatorRank.delay(2), is(Duration.ofSeconds(4)));
  }

  /** Requests of a service that many VMs receive; each knows only its own. */
  @ParameterizedTest
  @ValueSource(ints = {1, 6, 24, 126})
  void all_vms_together_stay_within_the_bound(int vms) {
    RolloutSettings settings = new RolloutSettings(0.1, 50, Duration.ofSeconds(5));
    for (long order = 0; order < 100; order++) {
      long sent = 0;
      int requests = 0;
      for (int vm = 0; vm < vms; vm++) {
        double fraction =
            (CoordinatorRank.hash("plain", order, "vm-" + vm) >>> 1) / (double) Long.MAX_VALUE;
        ExposureLimit limit = new ExposureLimit(settings, true, fraction);
        for (int request = 0; request < 600 / vms; request++) {
          requests++;
          limit.recordRequest();
          if (limit.hasCapacity(new ExposureLimit.Phase.Full(), vms)) {
            limit.recordSent();
          }
        }
        sent += limit.sent();
      }
      assertThat((double) sent, is(lessThanOrEqualTo(0.1 * requests + 50)));
    }
  }
}
