package org.cactusseam.logic.hedging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.logic.gateway.ColdLimit;
import org.cactusseam.logic.gateway.EngineReports;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.logic.gateway.ServerHealth;
import org.cactusseam.logic.gateway.ServerLoads;
import org.cactusseam.logic.gateway.ServerPaces;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.logic.gateway.ServerTable;
import org.cactusseam.logic.gateway.SharedRetryBudget;
import org.cactusseam.logic.hedging.HedgeDecision.Reason;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.ServerInstance;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against second attempts in each state of the system in which none may be sent. */
class HedgeDecisionTest {

  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final Duration USUAL = Duration.ofMillis(40);
  private static final int SLOTS = 4;
  private static final int SERVERS = 6;
  private static final String ROUTE = "lookup";
  private static final GatewayService SERVICE =
      new GatewayService("plain", "/healthz", 100, 0, Optional.empty());

  private final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final ServerTable servers = new ServerTable();
  private final ServerLoads loads = new ServerLoads();
  private final ServerHealth health = new ServerHealth();
  private final LeavingServers leavingServers = new LeavingServers();
  private final List<ServerInstance> instances = new ArrayList<>();
  private final ServerSelector selector =
      new ServerSelector(
          clock,
          new ServerSelector.Location("ost-wien", Map.of("ost-wien", "ost", "ost-graz", "ost")),
          servers,
          loads,
          new ServerPaces(),
          health,
          leavingServers,
          new EngineReports(),
          new ColdLimit.Tolerance(1.5, 5));
  private final HedgingPolicy policy =
      new HedgingPolicy(WINDOW, 0.1, Instant.EPOCH.minusSeconds(60), servers, selector);
  private SharedRetryBudget budget = budget(52);

  @BeforeEach
  void recordUsualResponses() {
    for (int number = 0; number < SERVERS; number++) {
      ServerInstance server = server("s-" + number, number % 2 == 0 ? "ost-wien" : "ost-graz");
      instances.add(server);
      servers.put(server, Instant.EPOCH.minusSeconds(60));
    }
    for (int number = 0; number < 100; number++) {
      clock.advance(10);
      policy.recordRequest(SERVICE.name(), clock.instant());
      record(instances.get(number % SERVERS), USUAL);
    }
  }

  private static ServerInstance server(String id, String domain) {
    return new ServerInstance(
        id, 1, SERVICE.name(), "127.0.0.1", 8_000, domain, SLOTS, false, Duration.ZERO, "v1");
  }

  private static SharedRetryBudget budget(double allowance) {
    return new SharedRetryBudget(WINDOW, 0, allowance, Instant.EPOCH.minusSeconds(60));
  }

  private void record(ServerInstance server, Duration time) {
    policy.recordResponse(ROUTE, server.id(), time, clock.instant());
  }

  private SlowRequest slow(ServerInstance server) {
    return request(server, USUAL.plusMillis(1), Duration.ZERO, false, 0, Duration.ofSeconds(2));
  }

  private SlowRequest request(
      ServerInstance server,
      Duration age,
      Duration lateness,
      boolean isDraining,
      int waiting,
      Duration remaining) {
    return new SlowRequest(
        ROUTE,
        Duration.ofMillis(400),
        new ServerSelector.Requirements(SERVICE, Set.of(), 0, Set.of(), 7),
        server,
        age,
        remaining,
        lateness,
        isDraining,
        waiting,
        budget,
        1);
  }

  private HedgeDecision decide(SlowRequest request) {
    return policy.decide(request, clock.instant());
  }

  private static HedgeDecision denied(Reason reason) {
    return new HedgeDecision.Denied(reason);
  }

  private String serverOf(HedgeDecision decision) {
    assertThat(decision, is(instanceOf(HedgeDecision.Send.class)));
    return ((HedgeDecision.Send) decision).server().id();
  }

  @Test
  void a_slow_request_is_sent_to_another_server() {
    assertThat(serverOf(decide(slow(instances.get(0)))), is(not("s-0")));
  }

  @Test
  void a_request_waits_until_its_attempt_exceeds_the_threshold() {
    SlowRequest early =
        request(
            instances.get(0),
            Duration.ofMillis(15),
            Duration.ZERO,
            false,
            0,
            Duration.ofSeconds(2));

    assertThat(decide(early), is(new HedgeDecision.Wait(Duration.ofMillis(25))));
  }

  /** Guards against a VM that was frozen and hedges requests whose responses it has not read. */
  @Test
  void a_timer_that_fires_late_leads_to_a_second_check() {
    Duration late = HedgingPolicy.MAX_TIMER_DELAY.plusMillis(1);
    Duration age = USUAL.plus(late);
    ServerInstance first = instances.get(0);

    assertThat(
        decide(request(first, age, late, false, 0, Duration.ofSeconds(2))),
        is(new HedgeDecision.Wait(HedgingPolicy.RECHECK_DELAY)));
    assertThat(
        decide(request(first, age, Duration.ZERO, false, 0, Duration.ofSeconds(2))),
        is(instanceOf(HedgeDecision.Send.class)));
  }

  /** Guards against hedging by a VM that has just restarted and knows no response times. */
  @Test
  void a_route_with_few_samples_is_not_hedged() {
    clock.advance(WINDOW.plusSeconds(1).toMillis());
    for (int number = 1; number < ResponseTimes.MIN_SAMPLES; number++) {
      record(instances.get(0), USUAL);
    }

    assertThat(decide(slow(instances.get(0))), is(denied(Reason.FEW_SAMPLES)));
  }

  @Test
  void a_draining_gateway_hedges_nothing() {
    Duration age = USUAL.plusMillis(1);

    assertThat(
        decide(request(instances.get(0), age, Duration.ZERO, true, 0, Duration.ofSeconds(2))),
        is(denied(Reason.DRAINING)));
  }

  @Test
  void a_service_with_waiting_requests_is_not_hedged() {
    Duration age = USUAL.plusMillis(1);

    assertThat(
        decide(request(instances.get(0), age, Duration.ZERO, false, 1, Duration.ofSeconds(2))),
        is(denied(Reason.QUEUE)));
  }

  @Test
  void a_service_whose_slots_are_mostly_taken_is_not_hedged() {
    for (ServerInstance server : instances) {
      for (int run = 0; run < SLOTS - 1; run++) {
        loads.addRun(server.id(), 0);
      }
    }

    assertThat(decide(slow(instances.get(0))), is(denied(Reason.BUSY)));
  }

  /** Guards against free slots of servers that cannot be used, which hide an overload. */
  @Test
  void slots_of_suspended_and_cold_servers_do_not_count_as_free() {
    for (ServerInstance server : instances.subList(0, 3)) {
      for (int run = 0; run < SLOTS - 1; run++) {
        loads.addRun(server.id(), 0);
      }
    }
    for (ServerInstance server : instances.subList(3, SERVERS)) {
      health.recordUnreachable(server.id(), clock.instant());
    }
    servers.put(server("cold", "ost-wien"), clock.instant());

    assertThat(decide(slow(instances.get(0))), is(denied(Reason.BUSY)));
  }

  /** Guards against a service without slots that always seems idle. */
  @Test
  void the_connection_limit_counts_where_no_slots_are_known() {
    for (ServerInstance server : instances) {
      servers.put(
          new ServerInstance(
              server.id(),
              1,
              SERVICE.name(),
              "127.0.0.1",
              8_000,
              server.failureDomain(),
              0,
              false,
              Duration.ZERO,
              "v1"),
          Instant.EPOCH.minusSeconds(60));
      for (int run = 0; run < 80; run++) {
        loads.addRun(server.id(), 0);
      }
    }

    assertThat(decide(slow(instances.get(0))), is(denied(Reason.BUSY)));
  }

  @Test
  void a_request_near_its_deadline_is_not_hedged() {
    Duration age = USUAL.plusMillis(1);

    assertThat(
        decide(request(instances.get(0), age, Duration.ZERO, false, 0, USUAL)),
        is(denied(Reason.LITTLE_TIME)));
  }

  /** Guards against a second attempt at a server that is slow itself. */
  @Test
  void a_slow_server_gets_no_second_attempt() {
    record(instances.get(2), USUAL.multipliedBy(3));
    record(instances.get(1), USUAL);

    String chosen = serverOf(decide(slow(instances.get(0))));

    // Two slow servers of the domain of the first one: the cause may be the domain.
    assertThat(chosen.matches("s-[135]"), is(true));
  }

  /**
   * Guards against a second attempt at a server whose own attempts always lose against a second
   * one, so that no response shows that it is slow.
   */
  @Test
  void a_server_hidden_by_faster_second_attempts_gets_no_second_attempt() {
    ServerInstance hidden = instances.get(2);
    for (ServerInstance leaving : instances.subList(4, SERVERS)) {
      leavingServers.markLeaving(leaving, LeavingServers.Source.values()[0], clock.instant());
    }
    // The others have more load, so that the hidden one would be chosen.
    for (int number : new int[] {0, 3}) {
      loads.addRun(instances.get(number).id(), 0);
      loads.addRun(instances.get(number).id(), 0);
    }
    assertThat(serverOf(decide(slow(hidden))), is(not(hidden.id())));

    assertThat(serverOf(decide(slow(instances.get(1)))), is(not(hidden.id())));
  }

  /** Guards against an estimate without the slow attempts that lost, which hedges ever more. */
  @Test
  void attempts_that_lost_keep_the_threshold_up() {
    Duration untilSecondWon = USUAL.multipliedBy(2);
    for (int number = 0; number < 100; number++) {
      boolean isLost = number % 5 == 0;
      record(instances.get(number % SERVERS), isLost ? untilSecondWon : USUAL);
    }

    assertThat(policy.threshold(ROUTE, clock.instant().plusSeconds(1)).get(), is(untilSecondWon));
  }

  @Test
  void nothing_is_hedged_while_most_servers_are_slow() {
    for (int number = 1; number < SERVERS - 1; number++) {
      record(instances.get(number), USUAL.multipliedBy(3));
    }

    assertThat(decide(slow(instances.get(0))), is(denied(Reason.ALL_SLOW)));
  }

  /** Guards against a service with little load that is never hedged: one server gets all of it. */
  @Test
  void a_server_without_recent_responses_may_get_a_second_attempt() {
    clock.advance(4_000);

    assertThat(serverOf(decide(slow(instances.get(0)))), is(not("s-0")));
  }

  @Test
  void leaving_and_cold_servers_get_no_second_attempt() {
    for (ServerInstance server : instances.subList(1, SERVERS)) {
      leavingServers.markLeaving(server, LeavingServers.Source.values()[0], clock.instant());
    }
    servers.put(server("cold", "ost-wien"), clock.instant());

    assertThat(decide(slow(instances.get(0))), is(denied(Reason.NO_SERVER)));
  }

  /** Guards against extra requests beyond the share, which is 0.085 x 100 requests here. */
  @Test
  void the_share_limits_the_extra_requests() {
    for (int number = 0; number < 8; number++) {
      assertThat(decide(slow(instances.get(0))), is(instanceOf(HedgeDecision.Send.class)));
      record(instances.get(1), USUAL);
      record(instances.get(1), USUAL);
      record(instances.get(1), USUAL);
    }

    assertThat(decide(slow(instances.get(0))), is(denied(Reason.SHARE)));
  }

  /** Guards against extra requests that use up the retries that failures need. */
  @Test
  void a_part_of_the_retry_budget_stays_for_failures() {
    budget = budget(4);

    assertThat(decide(slow(instances.get(0))), is(instanceOf(HedgeDecision.Send.class)));
    assertThat(decide(slow(instances.get(0))), is(denied(Reason.RETRY_BUDGET)));
    assertThat(budget.tryReserve(1, clock.instant()).isAllowed(), is(true));
  }
}
