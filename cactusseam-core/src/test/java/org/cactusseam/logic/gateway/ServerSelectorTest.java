package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
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
import org.cactusseam.model.gateway.ServerPace;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against choosing servers that are full, unreachable, leaving or not allowed. */
class ServerSelectorTest {

  private static final int LONG_RUN_TOKENS = 4_000;

  private final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final ServerTable servers = new ServerTable();
  private final ServerLoads loads = new ServerLoads();
  private final ServerPaces paces = new ServerPaces();
  private final ServerHealth health = new ServerHealth();
  private final LeavingServers leavingServers = new LeavingServers();
  private final EngineReports reports = new EngineReports();
  private final ServerSelector selector =
      new ServerSelector(
          clock,
          new ServerSelector.Location(
              "ost-wien", Map.of("ost-wien", "ost", "ost-graz", "ost", "west-ibk", "west")),
          servers,
          loads,
          paces,
          health,
          leavingServers,
          reports,
          new ColdLimit.Tolerance(1.5, 5));
  private final ServerInstance nearServer = GatewayFixtures.server("near", "engines", "ost-wien");
  private final ServerInstance farServer = GatewayFixtures.server("far", "engines", "west-ibk");

  @BeforeEach
  void listServers() {
    servers.put(nearServer, clock.instant());
    servers.put(farServer, clock.instant());
    clock.advance(60_000);
  }

  private static ServerSelector.Requirements requirements(
      GatewayService service, int tokens, int spread) {
    return new ServerSelector.Requirements(service, Set.of(), tokens, Set.of(), spread);
  }

  private Optional<String> choose(int tokens) {
    return selector
        .choose(requirements(GatewayFixtures.ENGINES, tokens, 0))
        .map(ServerInstance::id);
  }

  @Test
  void the_own_region_is_preferred() {
    assertThat(choose(LONG_RUN_TOKENS), is(Optional.of("near")));
  }

  /**
   * Guards against a region whose engines are full while those of the other region are nearly
   * empty: a copy never goes to another region, so the runs of its engines are lost with them.
   */
  @Test
  void long_runs_spread_over_the_regions_before_an_engine_of_the_own_region_is_full() {
    for (int run = 0; run < 6; run++) {
      loads.addRun(choose(LONG_RUN_TOKENS).orElseThrow(), LONG_RUN_TOKENS);
    }

    assertThat(loads.total("far").runs(), greaterThan(1));
    assertThat(loads.total("near").runs(), greaterThanOrEqualTo(loads.total("far").runs()));
  }

  /**
   * Guards against a distance that is counted more than once: a server of another region was left
   * idle until the own one was overloaded by more than a third.
   */
  @Test
  void plain_requests_go_to_another_region_when_the_own_server_is_loaded_by_a_third_more() {
    servers.put(GatewayFixtures.server("own", "plain", "ost-wien"), Instant.EPOCH);
    servers.put(GatewayFixtures.server("other", "plain", "west-ibk"), Instant.EPOCH);
    for (int run = 0; run < 10; run++) {
      loads.addRun("own", 0);
    }

    assertThat(
        selector.choose(requirements(GatewayFixtures.PLAIN, 0, 0)).map(ServerInstance::id),
        is(Optional.of("other")));
  }

  /** Guards against memory overflow by long runs, which fill the memory long before the slots. */
  @Test
  void long_runs_never_exceed_the_memory_of_an_engine() {
    int placed = 0;
    for (Optional<String> id = choose(LONG_RUN_TOKENS);
        id.isPresent();
        id = choose(LONG_RUN_TOKENS)) {
      loads.addRun(id.get(), LONG_RUN_TOKENS);
      placed++;
    }

    assertThat(placed, greaterThan(8));
    assertThat(loads.total("near").tokens(), lessThanOrEqualTo(30_000));
    assertThat(loads.total("far").tokens(), lessThanOrEqualTo(30_000));
  }

  @Test
  void a_run_larger_than_the_memory_limit_is_accepted_by_an_idle_engine() {
    assertThat(choose(29_000), is(Optional.of("near")));
  }

  @Test
  void load_from_other_vms_is_counted() {
    loads.setPeerLoads(
        "vm-2", Map.of("near", new ServerLoads.ServerLoad(6, 26_000, 0)), clock.instant());

    assertThat(choose(LONG_RUN_TOKENS), is(Optional.of("far")));
  }

  /**
   * Guards against sending all short runs to one engine: each run ended so fast that the engine
   * seemed the least loaded, while the prompts queued and first events took up to 3.3 s.
   */
  @Test
  void pending_prefill_directs_new_requests_to_other_engines() {
    servers.remove("far", clock.instant().plusSeconds(60));
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
  void a_server_is_chosen_again_after_its_suspension() {
    health.recordUnreachable("near", clock.instant());
    assertThat(choose(LONG_RUN_TOKENS), is(Optional.of("far")));

    clock.advance(10_000);
    health.recordSuccess("near");
    for (int outcome = 0; outcome < 40; outcome++) {
      health.recordSuccess("near");
    }
    assertThat(choose(LONG_RUN_TOKENS), is(Optional.of("near")));
  }

  @Test
  void a_leaving_server_gets_no_new_requests() {
    leavingServers.markLeaving(nearServer, LeavingServers.Source.ANNOUNCED, clock.instant());

    assertThat(choose(LONG_RUN_TOKENS), is(Optional.of("far")));
  }

  @Test
  void a_request_limited_to_a_region_runs_only_there() {
    ServerSelector.Requirements requirements =
        new ServerSelector.Requirements(
            GatewayFixtures.ENGINES, Set.of("west"), LONG_RUN_TOKENS, Set.of(), 0);

    assertThat(selector.choose(requirements), is(Optional.of(farServer)));
    servers.remove("far", clock.instant().plusSeconds(60));
    assertThat(selector.choose(requirements), is(Optional.empty()));
  }

  /**
   * Replays a copy that was rejected nine times until its run was lost. The target was chosen by
   * the loads of the VMs, which count the memory that runs need at their end and favoured a full
   * engine.
   */
  @Test
  void copy_targets_are_chosen_by_reported_free_memory() {
    ServerInstance third = GatewayFixtures.server("third", "engines", "ost-wien");
    servers.put(third, Instant.EPOCH);
    loads.addRun("third", 26_000);
    reports.put("far", GatewayFixtures.report(27_000), clock.instant());
    reports.put("third", GatewayFixtures.report(9_000), clock.instant());

    assertThat(
        selector.chooseCopyTarget(
            requirements(GatewayFixtures.ENGINES, LONG_RUN_TOKENS, 0), nearServer),
        is(Optional.of(third)));
  }

  /**
   * Guards against copies between regions: on the platform only 7 of 85 were complete in time, and
   * meanwhile the engine refused or delayed the copies of its other runs.
   */
  @Test
  void a_copy_target_is_never_in_another_region() {
    reports.put("far", GatewayFixtures.report(0), clock.instant());

    assertThat(
        selector.chooseCopyTarget(
            requirements(GatewayFixtures.ENGINES, LONG_RUN_TOKENS, 0), nearServer),
        is(Optional.empty()));
  }

  @Test
  void an_engine_without_free_memory_is_no_copy_target() {
    servers.put(GatewayFixtures.server("third", "engines", "ost-graz"), Instant.EPOCH);
    reports.put("third", GatewayFixtures.report(27_000), clock.instant());

    assertThat(
        selector.chooseCopyTarget(
            requirements(GatewayFixtures.ENGINES, LONG_RUN_TOKENS, 0), nearServer),
        is(Optional.empty()));
  }

  /**
   * Replays the shutdown notice of an engine: all VMs copy its runs at the same moment without
   * knowing each other's choices. Without a random part of the cost, all copies go to one engine
   * and do not fit.
   */
  @Test
  void simultaneous_copies_from_all_vms_fit_into_their_targets() {
    for (int index = 0; index < 6; index++) {
      servers.put(GatewayFixtures.server("other-" + index, "engines", "ost-wien"), Instant.EPOCH);
    }
    Map<String, Integer> tokens = new HashMap<>();
    int runs = 14;
    for (int run = 0; run < runs; run++) {
      ServerSelector.Requirements requirements =
          requirements(GatewayFixtures.ENGINES, LONG_RUN_TOKENS, ("attempt-" + run).hashCode());
      String holder = selector.chooseCopyTarget(requirements, nearServer).orElseThrow().id();
      tokens.merge(holder, LONG_RUN_TOKENS, Integer::sum);
    }

    tokens.values().forEach(sum -> assertThat(sum, lessThanOrEqualTo(30_000)));
  }

  /** Guards against a slow server that gets as many requests as a server at its usual pace. */
  @ParameterizedTest(name = "pace {0}, {1} runs more at the other server: {2}")
  @CsvSource({"250, 2, slow", "250, 0, usual", "250, 9, slow", "40, 0, slow"})
  void the_load_of_a_server_counts_by_its_pace(int percent, int moreRuns, String chosen) {
    servers.put(GatewayFixtures.server("slow", "plain", "ost-wien"), Instant.EPOCH);
    servers.put(GatewayFixtures.server("usual", "plain", "ost-wien"), Instant.EPOCH);
    paces.recordStatement("slow", new ServerPace(percent), clock.instant());
    for (int run = 0; run < moreRuns; run++) {
      loads.addRun("usual", 0);
    }
    Map<String, Integer> choices = choosePlain(400);

    assertThat(choices.getOrDefault(chosen, 0), greaterThan(200));
  }

  /** Guards against many VMs that all choose the same fast server at the same moment. */
  @Test
  void simultaneous_choices_are_spread_over_servers_of_nearly_the_same_pace() {
    for (int index = 0; index < 10; index++) {
      servers.put(GatewayFixtures.server("s-" + index, "plain", "ost-wien"), Instant.EPOCH);
      paces.recordStatement("s-" + index, new ServerPace(index == 0 ? 90 : 100), clock.instant());
    }

    choosePlain(400).values().forEach(count -> assertThat(count, lessThanOrEqualTo(160)));
  }

  /**
   * Guards against a random part that outweighs the cost of the link between the regions: with the
   * same load on all servers, requests left the region.
   */
  @ParameterizedTest(name = "{0} runs at each server, pace {1}: {2} sent away")
  @CsvSource({"0, 100, 0", "8, 250, 0", "22, 100, 0", "22, 250, 0"})
  void the_random_part_does_not_send_requests_to_another_region(
      int runs, int percent, int sentAway) {
    listInBothRegions(percent);
    for (int index = 0; index < 5; index++) {
      addRuns("own-" + index, runs);
      addRuns("other-" + index, runs);
    }

    assertThat(countPrefix(choosePlain(400), "other-"), is(sentAway));
  }

  /** Guards against a distance that can't be outweighed by the load of the own region. */
  @Test
  void requests_go_to_another_region_when_all_servers_of_the_own_one_are_more_loaded() {
    listInBothRegions(100);
    for (int index = 0; index < 5; index++) {
      addRuns("own-" + index, 12);
    }

    assertThat(countPrefix(choosePlain(400), "other-"), is(400));
  }

  private void listInBothRegions(int percent) {
    for (int index = 0; index < 5; index++) {
      servers.put(GatewayFixtures.server("own-" + index, "plain", "ost-wien"), Instant.EPOCH);
      servers.put(GatewayFixtures.server("other-" + index, "plain", "west-ibk"), Instant.EPOCH);
      paces.recordStatement("own-" + index, new ServerPace(percent), clock.instant());
      paces.recordStatement("other-" + index, new ServerPace(percent), clock.instant());
    }
  }

  private void addRuns(String id, int number) {
    for (int run = 0; run < number; run++) {
      loads.addRun(id, 0);
    }
  }

  private static int countPrefix(Map<String, Integer> choices, String prefix) {
    return choices.entrySet().stream()
        .filter(choice -> choice.getKey().startsWith(prefix))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  private Map<String, Integer> choosePlain(int number) {
    Map<String, Integer> choices = new HashMap<>();
    for (int request = 0; request < number; request++) {
      int spread = ("attempt-" + request).hashCode();
      String id =
          selector.choose(requirements(GatewayFixtures.PLAIN, 0, spread)).orElseThrow().id();
      choices.merge(id, 1, Integer::sum);
    }
    return choices;
  }
}
