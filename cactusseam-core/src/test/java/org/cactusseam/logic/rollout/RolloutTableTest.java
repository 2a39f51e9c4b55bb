package org.cactusseam.logic.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.RolloutOrder;
import org.cactusseam.model.gateway.RolloutSettings;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.VersionFilter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that are sent to a version that is not proven. */
class RolloutTableTest {

  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final Duration HOLD = Duration.ofSeconds(4);
  private static final VersionFilter V1 = VersionFilter.only(Set.of("v1"));
  private static final VersionFilter V2 = VersionFilter.only(Set.of("v2"));

  private final RolloutTable table =
      new RolloutTable(new RolloutSettings(0.1, 50, Duration.ofSeconds(5)), HOLD, "vm-1");

  private static ServerInstance server(String id, long startedAt, String version) {
    return new ServerInstance(
        id, startedAt, "plain", "127.0.0.1", 8_000, "a", 24, false, Duration.ZERO, version);
  }

  private void list(Duration at, String... versions) {
    List<ServerInstance> servers =
        java.util.stream.IntStream.range(0, versions.length)
            .mapToObj(index -> server("s-" + index, index, versions[index]))
            .toList();
    table.update("plain", servers, START.plus(at));
  }

  private static RolloutOrder order(String version, long id) {
    return new RolloutOrder("plain", version, Duration.ofSeconds(12), id);
  }

  private List<VersionFilter> versions() {
    // Of few requests none is tried out.
    table
        .find("plain")
        .ifPresent(
            rollout -> {
              for (int request = 0; request < 9; request++) {
                rollout.exposure().recordRequest();
              }
            });

    return table.choices("plain", true, 1, START).stream()
        .map(RolloutTable.Choice::versions)
        .toList();
  }

  private RolloutState startOrder(String version, long id, Duration at) {
    table.onOrder(order(version, id), START.plus(at));
    RolloutState state =
        table.initialState(table.find("plain").orElseThrow(), START.plus(at)).orElseThrow();
    table.onState(state);
    return state;
  }

  private void enter(RolloutState state, RolloutStage stage) {
    table.onState(state.in(stage, "test"));
  }

  @Test
  void a_version_without_an_order_is_held_back_for_a_time() {
    list(Duration.ZERO, "v1");
    list(HOLD, "v1", "v2");
    assertThat(versions(), contains(V1));

    list(HOLD.multipliedBy(2), "v1", "v2");
    assertThat(versions(), contains(VersionFilter.only(Set.of("v1", "v2"))));
  }

  @Test
  void after_a_start_the_version_of_the_oldest_server_has_the_traffic() {
    table.update("plain", List.of(server("s-2", 9, "v2")), START);
    table.update("plain", List.of(server("s-2", 9, "v2"), server("s-1", 1, "v1")), START);
    assertThat(versions(), contains(V1));
  }

  @Test
  void an_order_without_a_stage_changes_nothing() {
    list(Duration.ZERO, "v1");
    list(HOLD, "v1", "v2");
    table.onOrder(order("v2", 7), START.plus(HOLD));
    list(HOLD.multipliedBy(3), "v1", "v2");
    assertThat(versions(), contains(V1));
  }

  @Test
  void each_stage_allows_its_versions() {
    list(Duration.ZERO, "v1");
    list(HOLD, "v1", "v2");
    RolloutState state = startOrder("v2", 7, HOLD);
    assertThat(state.replaced(), is(Set.of("v1")));
    assertThat(versions(), contains(V2, V1));
    assertThat(table.choices("plain", false, 1, START).getFirst().versions(), is(V1));

    enter(state, new RolloutStage.Shifting());
    assertThat(versions(), contains(V2, V1));
    enter(state, new RolloutStage.Draining());
    // The old version is needed until the limit lasts to the deadline, and not after that.
    ServiceRollout rollout = table.find("plain").orElseThrow();
    rollout.updateSwitch(1, 0, START.plus(HOLD).plusMillis(100));
    assertThat(versions(), contains(V2, V1));
    assertThat(rollout.reportedStage(), is("shifting"));
    rollout.updateSwitch(1, 0, Instant.ofEpochMilli(state.deadlineMillis()).minusMillis(50));
    assertThat(versions(), contains(V2));
    assertThat(rollout.reportedStage(), is("draining"));
    enter(state, new RolloutStage.Completed());
    assertThat(versions(), contains(V2));
  }

  @Test
  void a_final_stage_is_not_replaced_by_one_that_is_read_late() {
    list(Duration.ZERO, "v1");
    list(HOLD, "v1", "v2");
    RolloutState state = startOrder("v2", 7, HOLD);
    enter(state, new RolloutStage.Reverted());
    enter(state, new RolloutStage.Shifting());
    enter(state, new RolloutStage.Completed());
    assertThat(versions(), contains(V1));
  }

  @Test
  void a_version_that_another_vm_found_bad_gets_nothing_before_the_stage_is_stored() {
    list(Duration.ZERO, "v1");
    list(HOLD, "v1", "v2");
    RolloutState state = startOrder("v2", 7, HOLD);
    table.hold("plain", 7, "failures");
    assertThat(versions(), contains(V1));
    enter(state, new RolloutStage.Draining());
    assertThat(versions(), contains(V1));
    ServiceRollout rollout = table.find("plain").orElseThrow();
    rollout.updateSwitch(1, 0, Instant.ofEpochMilli(state.deadlineMillis()).plusSeconds(1));
    assertThat(versions(), contains(V1));
    assertThat(rollout.isDraining(), is(false));
    // A VM that uses the old version does not count as drained although nothing runs there.
    assertThat(rollout.reportedStage(), is("shifting"));
    assertThat(
        rollout.badVerdict().orElseThrow(),
        is(new VersionTest.Verdict(VersionTest.Kind.BAD, "failures")));
  }

  @Test
  void a_removed_order_leaves_its_version_barred() {
    list(Duration.ZERO, "v1");
    list(HOLD, "v1", "v2");
    startOrder("v2", 7, HOLD);
    table.onOrderRemoved("plain");
    list(HOLD.multipliedBy(4), "v1", "v2");
    assertThat(versions(), contains(V1));
  }

  /** Guards against a service without servers after a plain release of a barred version. */
  @Test
  void a_barred_version_is_used_when_no_other_is_listed() {
    list(Duration.ZERO, "v1");
    list(HOLD, "v1", "v2");
    RolloutState state = startOrder("v2", 7, HOLD);
    enter(state, new RolloutStage.Reverted());
    assertThat(versions(), contains(V1));
    list(HOLD.multipliedBy(2), "v2");
    assertThat(versions(), contains(V2));
    list(HOLD.multipliedBy(3), "v1", "v2");
    assertThat(versions(), contains(V1));
  }

  /** Guards against requests to a version whose order another process may have reverted. */
  @Test
  void after_a_restart_the_version_of_an_order_waits_for_the_stage() {
    table.onOrder(order("v2", 7), START);
    table.update("plain", List.of(server("s-2", 1, "v2")), START);
    assertThat(versions(), contains(VersionFilter.only(Set.of())));
    table.update("plain", List.of(server("s-2", 1, "v2"), server("s-1", 9, "v1")), START);
    assertThat(versions(), contains(V1));
    ServiceRollout rollout = table.find("plain").orElseThrow();
    assertThat(table.initialState(rollout, START.plusMillis(900)), is(Optional.empty()));
  }

  @Test
  void after_a_restart_the_version_of_an_order_is_used_if_it_stays_the_only_one() {
    table.onOrder(order("v2", 7), START);
    table.update("plain", List.of(server("s-2", 1, "v2")), START);
    table.update("plain", List.of(server("s-2", 1, "v2")), START.plus(HOLD));
    assertThat(table.choices("plain", true, 1, START.plus(HOLD)).getFirst().versions(), is(V2));
  }

  /** Guards against a limit that grows by requests that the bound does not count. */
  @Test
  void requests_after_the_deadline_do_not_count() {
    list(Duration.ZERO, "v1");
    list(HOLD, "v1", "v2");
    startOrder("v2", 7, HOLD);
    ServiceRollout rollout = table.find("plain").orElseThrow();
    for (int request = 0; request < 1_000; request++) {
      rollout.recordRequest(START.plus(HOLD).plusSeconds(13));
    }
    assertThat(rollout.exposure().hasCapacity(new ExposureLimit.Phase.Canary(1), 1), is(false));
  }

  /**
   * Guards against a VM that restarts during an order and, after the deadline, sends more requests
   * to the new version than the bound permits, while the store is unavailable and the stage cannot
   * change.
   */
  @ParameterizedTest(name = "{0}, restart at second {1}")
  @CsvSource({"canary, 8", "shifting, 9", "draining, 11"})
  void after_a_restart_the_deadline_of_the_stage_counts(String stage, int restartSecond) {
    Instant deadline = START.plusSeconds(12);
    table.onOrder(order("v2", 7), START.plusSeconds(restartSecond));
    ServiceRollout rollout = table.find("plain").orElseThrow();
    table.onState(
        new RolloutState(
            "plain",
            7,
            "v2",
            Set.of("v1"),
            deadline.toEpochMilli(),
            RolloutStage.find(stage).orElseThrow(),
            "test"));
    for (int request = 0; request < 1_000; request++) {
      rollout.recordRequest(deadline.plusMillis(500 + request));
    }
    assertThat(rollout.exposure().hasCapacity(new ExposureLimit.Phase.Full(), 1), is(false));
  }

  /** Guards against an allowance that grows when VMs that have used their share are gone. */
  @Test
  void the_allowance_is_divided_by_the_largest_number_of_vms() {
    ExposureLimit limit =
        new ExposureLimit(new RolloutSettings(0, 50, Duration.ofSeconds(5)), true, 0);
    limit.recordRequest();
    assertThat(limit.hasCapacity(new ExposureLimit.Phase.Full(), 1_000), is(false));
    assertThat(limit.hasCapacity(new ExposureLimit.Phase.Full(), 1), is(false));
  }

  @Test
  void a_second_order_bars_the_version_of_the_first() {
    list(Duration.ZERO, "v1");
    list(HOLD, "v1", "v2", "v3");
    startOrder("v2", 7, HOLD);
    RolloutState second = startOrder("v3", 8, HOLD.multipliedBy(2));
    assertThat(second.replaced(), is(Set.of("v1")));
    assertThat(versions(), contains(VersionFilter.only(Set.of("v3")), V1));
  }

  @Test
  void an_order_back_to_the_old_version_needs_no_evidence() {
    list(Duration.ZERO, "v1");
    list(HOLD, "v1", "v2");
    startOrder("v2", 7, HOLD);
    RolloutState back = startOrder("v1", 8, HOLD.plusSeconds(1));
    assertThat(back.isRestoring(), is(true));
    assertThat(versions().getLast(), is(V1));
  }

  @Test
  void a_vm_that_starts_during_an_order_uses_the_stored_versions() {
    table.onState(
        new RolloutState("plain", 7, "v2", Set.of("v1"), 0, new RolloutStage.Shifting(), "test"));
    table.onOrder(order("v2", 7), START);
    table.update("plain", List.of(server("s-2", 1, "v2"), server("s-1", 9, "v1")), START);
    assertThat(versions().getLast(), is(V1));
  }
}
