package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.ServerInstance;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against servers that are overfilled, unreachable, leaving or not allowed. */
class ServerSelectorTest {

  private static final int LETTER = 4_000;

  private final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final ServerTable servers = new ServerTable();
  private final ServerLoads loads = new ServerLoads();
  private final ServerHealth health = new ServerHealth();
  private final LeavingServers departures = new LeavingServers();
  private final EngineReports reports = new EngineReports();
  private final ServerSelector placement =
      new ServerSelector(
          clock,
          new ServerSelector.Location(
              "ost-wien", Map.of("ost-wien", "ost", "ost-graz", "ost", "west-ibk", "west")),
          servers,
          loads,
          health,
          departures,
          reports,
          new ColdLimit.Tolerance(1.5, 5));
  private final ServerInstance near = GatewayFixtures.server("near", "engines", "ost-wien");
  private final ServerInstance far = GatewayFixtures.server("far", "engines", "west-ibk");

  @BeforeEach
  void listServers() {
    servers.put(near, clock.instant());
    servers.put(far, clock.instant());
    clock.advance(60_000);
  }

  private static ServerSelector.Requirements need(GatewayService service, int tokens, int spread) {
    return new ServerSelector.Requirements(service, Set.of(), tokens, Set.of(), spread);
  }

  private Optional<String> choose(int tokens) {
    return placement.choose(need(GatewayFixtures.ENGINES, tokens, 0)).map(ServerInstance::id);
  }

  @Test
  void the_own_region_goes_first() {
    assertThat(choose(LETTER), is(Optional.of("near")));
  }

  /** Guards against the load pattern of long letters: memory is full long before the slots are. */
  @Test
  void long_requests_never_exceed_the_memory_of_an_engine() {
    int placed = 0;
    for (Optional<String> id = choose(LETTER); id.isPresent(); id = choose(LETTER)) {
      loads.addRun(id.get(), LETTER);
      placed++;
    }

    assertThat(placed, greaterThan(8));
    assertThat(loads.total("near").tokens(), lessThanOrEqualTo(30_000));
    assertThat(loads.total("far").tokens(), lessThanOrEqualTo(30_000));
  }

  @Test
  void a_request_larger_than_the_headroom_runs_alone() {
    assertThat(choose(29_000), is(Optional.of("near")));
  }

  @Test
  void what_other_vms_have_placed_counts() {
    loads.setPeerLoads(
        "vm-2", Map.of("near", new ServerLoads.ServerLoad(6, 26_000, 0)), clock.instant());

    assertThat(choose(LETTER), is(Optional.of("far")));
  }

  /**
   * Replays tags that all went to one engine: each left it so fast that it seemed the least loaded,
   * while their prompts queued and their first events came after up to 3.3 s.
   */
  @Test
  void prompts_that_wait_to_be_read_send_new_requests_elsewhere() {
    ServerInstance third = GatewayFixtures.server("third", "engines", "ost-wien");
    servers.put(third, Instant.EPOCH);
    loads.addRun("third", 12_000);
    for (int run = 0; run < 3; run++) {
      loads.addRun("near", 2_300);
      loads.startPrefill("near", 2_200);
    }

    assertThat(choose(2_300), is(Optional.of("third")));
    for (int run = 0; run < 3; run++) {
      loads.endPrefill("near", 2_200);
    }
    assertThat(choose(2_300), is(Optional.of("near")));
  }

  @Test
  void a_suspended_server_is_chosen_again_when_its_time_is_over() {
    health.recordUnreachable("near", clock.instant());
    assertThat(choose(LETTER), is(Optional.of("far")));

    clock.advance(10_000);
    health.recordSuccess("near");
    for (int outcome = 0; outcome < 40; outcome++) {
      health.recordSuccess("near");
    }
    assertThat(choose(LETTER), is(Optional.of("near")));
  }

  @Test
  void a_server_that_leaves_gets_nothing_new() {
    departures.markLeaving("near", LeavingServers.Source.ANNOUNCED, clock.instant());

    assertThat(choose(LETTER), is(Optional.of("far")));
  }

  @Test
  void a_route_that_may_run_in_one_region_only_stays_there() {
    ServerSelector.Requirements need =
        new ServerSelector.Requirements(
            GatewayFixtures.ENGINES, Set.of("west"), LETTER, Set.of(), 0);

    assertThat(placement.choose(need), is(Optional.of(far)));
    servers.remove("far", clock.instant().plusSeconds(60));
    assertThat(placement.choose(need), is(Optional.empty()));
  }

  /**
   * Replays a copy that was rejected nine times until its run was lost: the loads of the VMs count
   * what runs need at their end and said that this engine has the most room.
   */
  @Test
  void a_copy_goes_where_the_engines_report_room_for_it() {
    ServerInstance third = GatewayFixtures.server("third", "engines", "ost-wien");
    servers.put(third, Instant.EPOCH);
    loads.addRun("third", 26_000);
    reports.put("far", GatewayFixtures.report(27_000), clock.instant());
    reports.put("third", GatewayFixtures.report(9_000), clock.instant());

    assertThat(
        placement.chooseCopyTarget(need(GatewayFixtures.ENGINES, LETTER, 0), near),
        is(Optional.of(third)));
  }

  /**
   * Guards the copies behind it: 7 of 85 copies between regions were complete in time on the
   * platform, and the engine refused or delayed those of its other runs meanwhile.
   */
  @Test
  void no_copy_goes_to_another_region() {
    reports.put("far", GatewayFixtures.report(0), clock.instant());

    assertThat(
        placement.chooseCopyTarget(need(GatewayFixtures.ENGINES, LETTER, 0), near),
        is(Optional.empty()));
  }

  @Test
  void no_copy_is_sent_to_engines_without_room() {
    servers.put(GatewayFixtures.server("third", "engines", "ost-graz"), Instant.EPOCH);
    reports.put("third", GatewayFixtures.report(27_000), clock.instant());

    assertThat(
        placement.chooseCopyTarget(need(GatewayFixtures.ENGINES, LETTER, 0), near),
        is(Optional.empty()));
  }

  /**
   * Replays the notice of a leaving engine: all VMs copy its runs at the same moment, without
   * knowledge of each other's choices. Before, all copies went to one engine and did not fit.
   */
  @Test
  void copies_of_all_vms_at_one_moment_fit_into_their_targets() {
    for (int index = 0; index < 6; index++) {
      servers.put(GatewayFixtures.server("other-" + index, "engines", "ost-wien"), Instant.EPOCH);
    }
    Map<String, Integer> tokens = new HashMap<>();
    int runs = 14;
    for (int run = 0; run < runs; run++) {
      ServerSelector.Requirements need =
          need(GatewayFixtures.ENGINES, LETTER, ("attempt-" + run).hashCode());
      String holder = placement.chooseCopyTarget(need, near).orElseThrow().id();
      tokens.merge(holder, LETTER, Integer::sum);
    }

    tokens.values().forEach(sum -> assertThat(sum, lessThanOrEqualTo(30_000)));
  }
}
