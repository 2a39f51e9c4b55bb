package org.cactusseam.logic.admission;

import static org.cactusseam.logic.admission.ShardFixture.COLD;
import static org.cactusseam.logic.admission.ShardFixture.NODE;
import static org.cactusseam.logic.admission.ShardFixture.WARM;
import static org.cactusseam.logic.admission.ShardFixture.report;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against attempts that run at the wrong time, in the wrong order or on the wrong server.
 */
class AdmissionShardTest {

  private final ShardFixture fixture = new ShardFixture(AdmissionSettings.zopfwerk());
  private final AdmissionShard shard = fixture.shard;

  @ParameterizedTest(name = "cold limit {0}, {1} requests: {2} sent unconfirmed")
  @CsvSource({"1, 5, 1", "3, 5, 3", "3, 2, 2"})
  void a_warm_server_gets_no_more_unconfirmed_attempts_than_its_cold_limit(
      int coldLimit, int requests, int expected) {
    fixture.server("zopf-1", coldLimit, 50, 1_000_000).warm();

    assertThat(fixture.askMany("premium", requests), hasSize(expected));
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({"report, 2", "head, 2", "incarnation, 2", "broken, 2", "silence, 2", "nothing, 12"})
  void a_server_that_turned_cold_gets_no_more_than_its_cold_limit(String event, int expected) {
    fixture.server("zopf-1", 2, 50, 1_000_000).warm();
    List<Permit> first = fixture.askMany("premium", 2);
    first.forEach(permit -> shard.recordConfirmation(permit.id(), WARM));

    switch (event) {
      case "report" -> shard.recordLoadReport(fixture.name(0), report(COLD, 2));
      case "head" -> shard.recordConfirmation(first.getFirst().id(), COLD);
      case "incarnation" ->
          shard.recordConfirmation(first.getFirst().id(), new BackendCondition("run-2", false));
      case "broken" -> shard.recordEnd(first.getFirst().id(), AttemptEnd.BROKEN, 3);
      case "silence" -> {
        fixture.clock.advance(501);
        shard.tick();
      }
      default -> {}
    }

    assertThat(fillConfirming(10, event.equals("nothing")), is(expected));
  }

  /**
   * Sends requests and, if the server is warm, confirms each grant; returns how many attempts are
   * open at the end.
   */
  private int fillConfirming(int requests, boolean warm) {
    for (int index = 0; index < requests; index++) {
      shard.request(fixture.request("premium"));
      if (warm) {
        fixture.grants().forEach(permit -> shard.recordConfirmation(permit.id(), WARM));
      }
    }
    return shard.servers().iterator().next().open();
  }

  @Test
  void a_lagged_warm_report_after_a_cold_response_head_does_not_raise_the_limit() {
    fixture.server("zopf-1", 1, 50, 1_000_000).warm();
    Permit first = fixture.askMany("premium", 1).getFirst();
    shard.recordConfirmation(first.id(), COLD);

    shard.recordLoadReport(fixture.name(0), report(WARM, 1));

    assertThat(fixture.askMany("premium", 3), is(empty()));
  }

  /**
   * Guards against a late report of the previous process run that makes a restarted server look
   * warm.
   */
  @Test
  void a_report_of_a_former_incarnation_is_ignored() {
    fixture.server("zopf-1", 1, 50, 1_000_000).warm();
    BackendCondition restarted = new BackendCondition("run-2", true);
    shard.recordLoadReport(fixture.name(0), report(restarted, 0));

    shard.recordLoadReport(fixture.name(0), report(WARM, 0));
    shard.recordLoadReport(fixture.name(0), report(WARM, 0));

    assertThat(shard.load().limit(), is(1));
    assertThat(shard.servers().iterator().next().cold(), is(true));
  }

  @ParameterizedTest(name = "after {0} ms: limit {1}")
  @CsvSource({"0, 2", "250, 4", "500, 8", "1000, 32"})
  void the_limit_rises_in_steps_after_warm_up(long millis, int limit) {
    fixture.server("zopf-1", 2, 50, 1_000_000).configured();
    shard.recordLoadReport(fixture.name(0), report(WARM, 0));
    for (long passed = 0; passed < millis; passed += 250) {
      fixture.clock.advance(250);
      shard.recordLoadReport(fixture.name(0), report(WARM, 0));
    }

    assertThat(shard.load().limit(), is(limit));
  }

  @ParameterizedTest(name = "out of service: {0}")
  @CsvSource({"domain", "server"})
  void no_permit_is_granted_for_a_server_or_domain_that_is_out_of_service(String kind) {
    fixture.server("zopf-1", 2, 50, 1_000_000).warm();
    PermitRequest unconfirmed = fixture.request("premium");
    fixture.ask(unconfirmed);
    if (kind.equals("domain")) {
      fixture.domainState = ServiceState.OUT;
    } else {
      fixture.servers.set(0, fixture.servers.getFirst().withState(ServiceState.OUT));
    }
    fixture.configured();

    assertThat(fixture.askMany("premium", 2), is(empty()));
    shard.request(unconfirmed);
    assertThat(fixture.grants(), is(empty()));
  }

  @Test
  void a_returning_domain_starts_at_the_cold_limit() {
    fixture.server("zopf-1", 2, 50, 1_000_000).warm();
    fixture.domainState = ServiceState.OUT;
    fixture.configured();
    fixture.domainState = ServiceState.IN;
    fixture.configured();

    assertThat(fillConfirming(10, false), is(2));
  }

  /**
   * Guards against exceeding the cold limit because the open attempts of a removed server are no
   * longer counted.
   */
  @Test
  void a_server_that_is_removed_and_created_again_keeps_its_open_attempts() {
    fixture.server("zopf-1", 2, 50, 1_000_000).server("zopf-2", 2, 50, 1_000_000).configured();
    assertThat(fixture.askMany("premium", 6), hasSize(4));
    BackendServer removed = fixture.servers.removeFirst();
    fixture.configured();
    fixture.servers.addFirst(removed);
    fixture.configured();

    assertThat(fixture.askMany("premium", 6), is(empty()));
  }

  @Test
  void a_repeated_request_gets_the_same_permit() {
    fixture.server("zopf-1", 2, 50, 1_000_000).server("zopf-2", 2, 50, 1_000_000).warm();
    PermitRequest request = fixture.request("premium");
    List<AdmissionDecision> first = fixture.ask(request);

    assertThat(fixture.ask(request), is(first));
    assertThat(shard.load().open(), is(1));
  }

  @Test
  void a_lower_class_runs_on_the_only_slot_of_a_cold_shard() {
    fixture.server("zopf-1", 1, 50, 1_000_000).configured();

    assertThat(fixture.askMany("batch", 2), hasSize(1));
  }

  @Test
  void a_higher_class_is_served_first() {
    ShardFixture ranked = ShardFixture.with(AdmissionFeature.PRIORITY_ORDER);
    ranked.server("zopf-1", 1, 1, 1_000_000).warm();
    Permit running = ranked.askMany("batch", 1).getFirst();
    PermitRequest batch = ranked.request("batch");
    PermitRequest premium = ranked.request("premium");
    ranked.shard.request(batch);
    ranked.shard.request(premium);
    ranked.shard.drain();

    ranked.shard.recordEnd(running.id(), AttemptEnd.COMPLETED, 10);

    assertThat(ranked.grants().getFirst().id(), is(premium.id()));
  }

  @ParameterizedTest(name = "{0} gets {1} of the last 2 slots")
  @CsvSource({"batch, 0", "standard, 2"})
  void delay_tolerant_classes_leave_a_margin_to_interactive_streams(String account, int expected) {
    ShardFixture busy = new ShardFixture(AdmissionSettings.zopfwerk().withReservedPart(0));
    busy.server("zopf-1", 10, 20, 1_000_000).warm();
    fill(busy, "other", 18);

    assertThat(busy.askMany(account, 2), hasSize(expected));
  }

  @Test
  void accounts_of_a_class_are_served_by_generated_tokens() {
    ShardFixture plain =
        ShardFixture.with(AdmissionFeature.FAIR_SHARES, AdmissionFeature.PRIORITY_ORDER);
    plain.server("zopf-1", 1, 1, 1_000_000).warm();
    Permit running = plain.askMany("standard", 1).getFirst();
    plain.askMany("standard", 3);
    PermitRequest other = plain.request("other");
    plain.ask(other);

    plain.shard.recordEnd(running.id(), AttemptEnd.COMPLETED, 5_000);

    assertThat(plain.grants().getFirst().id(), is(other.id()));
  }

  @ParameterizedTest(name = "reserved part {0}: premium gets {1} of 10")
  @CsvSource({"1, 10", "0, 0"})
  void a_purchased_share_is_available_at_once_after_long_disuse(double reserved, int expected) {
    ShardFixture full = new ShardFixture(AdmissionSettings.zopfwerk().withReservedPart(reserved));
    full.server("zopf-1", 10, 100, 10_000_000).warm();
    fill(full, "standard", 110);

    assertThat(full.askMany("premium", 10), hasSize(expected));
  }

  /** Requests permits and confirms each grant; returns how many were granted. */
  private static int fill(ShardFixture fixture, String account, int requests) {
    int granted = 0;
    for (int request = 0; request < requests; request++) {
      List<Permit> permits = fixture.askMany(account, 1);
      permits.forEach(permit -> fixture.shard.recordConfirmation(permit.id(), WARM));
      granted += permits.size();
    }
    return granted;
  }

  @ParameterizedTest(name = "{0} gets {1} of 5 permits while a lower class fills the memory")
  @CsvSource({"premium, 5", "standard, 0"})
  void a_returning_account_preempts_lower_classes_within_its_share(String account, int expected) {
    ShardFixture full = new ShardFixture(AdmissionSettings.zopfwerk().withReservedPart(0));
    full.server("zopf-1", 5, 100, 10_000).warm();
    fill(full, "other", 60);

    assertThat(full.askMany(account, 5), hasSize(expected));
  }

  @ParameterizedTest(name = "headroom {0}: {1} attempts of (100 + 256) tokens in 10,000")
  @CsvSource({"0.15, 23", "0, 28", "-0.1, 30"})
  void expected_peak_memory_limits_the_running_attempts(double headroom, int expected) {
    ShardFixture bounded =
        new ShardFixture(AdmissionSettings.zopfwerk().withReservedPart(0).withHeadroom(headroom));
    bounded.server("zopf-1", 10, 100, 10_000).warm();

    assertThat(fill(bounded, "other", 40), is(expected));
  }

  @Test
  void an_attempt_that_cannot_meet_its_deadline_is_refused_at_once() {
    fixture.server("zopf-1", 1, 1, 1_000_000).warm();
    Permit first = fixture.askMany("premium", 1).getFirst();
    shard.recordConfirmation(first.id(), WARM);
    fixture.clock.advance(10_000);
    shard.recordEnd(first.id(), AttemptEnd.COMPLETED, 100);
    fixture.askMany("premium", 5);

    List<AdmissionDecision> decisions =
        fixture.ask(fixture.request("premium", 100, 12_000, List.of(), List.of()));

    AdmissionDecision.Refused refused = (AdmissionDecision.Refused) decisions.getFirst();
    assertThat(refused.code(), is(ResultCode.OVERLOADED));
    assertThat(refused.retryAfterMillis() > 1_000, is(true));
  }

  @Test
  void the_queue_of_an_account_is_bounded() {
    ShardFixture plain = ShardFixture.with();
    plain.server("zopf-1", 1, 1, 1_000_000).warm();
    plain.askMany("standard", 257);

    AdmissionDecision last = plain.ask(plain.request("standard")).getLast();

    assertThat(last, is(instanceOf(AdmissionDecision.Refused.class)));
    assertThat(plain.ask(plain.request("other")).getLast(), is(not(last)));
  }

  @Test
  void retries_end_when_their_budget_is_used_up() {
    fixture.server("zopf-1", 5, 100, 1_000_000).server("zopf-2", 5, 100, 1_000_000).warm();
    int refused = 0;
    for (int retry = 0; retry < 15; retry++) {
      PermitRequest request =
          fixture.request("premium", 10, 60_000, List.of(), List.of(fixture.name(0)));
      refused += fixture.ask(request).getFirst() instanceof AdmissionDecision.Refused ? 1 : 0;
    }

    assertThat(refused, is(5));
  }

  @Test
  void a_server_that_refuses_everything_gets_no_attempts_for_some_time() {
    ShardFixture plain = ShardFixture.with(AdmissionFeature.CIRCUIT_BREAKER);
    plain.server("zopf-1", 1, 5, 1_000_000).warm();
    for (int failure = 0; failure < 5; failure++) {
      Permit permit = plain.askMany("premium", 1).getFirst();
      plain.shard.recordEnd(permit.id(), AttemptEnd.REFUSED, 0);
    }

    assertThat(plain.askMany("premium", 2), is(empty()));
    plain.clock.advance(500);
    plain.shard.tick();
    assertThat("one attempt tests the server", plain.grants(), hasSize(1));
  }

  /**
   * For an account within its purchased share the server with the shortest steps is chosen, so its
   * cached prefix matters only after the prefill of the first prompt.
   */
  @ParameterizedTest(name = "{0}, {1} ms later, {2}: second request runs on server {3}")
  @CsvSource({
    "standard, 0, dispatched, 0",
    "standard, 0, evicted, 1",
    "standard, 0, none, 1",
    "premium, 0, dispatched, 1",
    "premium, 100, dispatched, 0",
    "premium, 100, evicted, 1",
    "premium, 100, none, 1"
  })
  void a_prompt_goes_to_the_server_that_probably_caches_its_prefix(
      String account, long laterMillis, String event, int expected) {
    fixture.server("zopf-1", 5, 100, 1_000_000).server("zopf-2", 5, 100, 1_000_000).warm();
    List<Long> prefixes = event.equals("none") ? List.of() : List.of(11L, 12L);
    shard.request(fixture.request(account, 200, 60_000, prefixes, List.of()));
    if (event.equals("evicted")) {
      shard.recordCacheEvent(fixture.name(0), 1, false, 11);
      shard.recordCacheEvent(fixture.name(0), 2, false, 12);
    }
    shard.drain();
    fixture.clock.advance(laterMillis);

    shard.request(fixture.request(account, 200, 60_000, prefixes, List.of()));

    assertThat(fixture.grants().getFirst().server(), is(fixture.name(expected)));
  }

  @Test
  void permits_of_a_lost_entry_daemon_count_until_reports_show_that_the_streams_ended() {
    fixture.server("zopf-1", 2, 50, 1_000_000).warm();
    fixture.askMany("premium", 2).forEach(permit -> shard.recordConfirmation(permit.id(), WARM));
    fixture.clock.advance(3_000);
    shard.markRequesterLost(NODE, "boot-1");

    shard.recordLoadReport(fixture.name(0), report(WARM, 2));
    shard.recordLoadReport(fixture.name(0), report(WARM, 1));
    assertThat(shard.load().open(), is(2));
    shard.recordLoadReport(fixture.name(0), report(WARM, 1));
    assertThat(shard.load().open(), is(1));
  }

  @Test
  void nothing_is_granted_without_a_valid_lease_or_to_a_silent_requester() {
    fixture.server("zopf-1", 1, 1, 1_000_000).warm();
    Permit running = fixture.askMany("premium", 1).getFirst();
    PermitRequest silent = fixture.request("premium");
    fixture.ask(silent);
    fixture.clock.advance(1_001);
    shard.recordEnd(running.id(), AttemptEnd.COMPLETED, 1);
    assertThat("the grant would arrive too late", fixture.grants(), is(empty()));

    shard.setLeaseValid(false);
    shard.request(silent);
    assertThat(fixture.grants(), is(empty()));
    shard.setLeaseValid(true);
    assertThat(fixture.grants().getFirst().id(), is(silent.id()));
  }

  /**
   * Guards against a suspect without any permitted server that blocks the other requests of its
   * account.
   */
  @ParameterizedTest(name = "a further server that is full: {0}")
  @ValueSource(booleans = {false, true})
  void an_attempt_that_may_run_nowhere_does_not_block_its_account(boolean fullServer) {
    fixture.server("zopf-1", 4, 50, 1_000_000);
    if (fullServer) {
      fixture.server("zopf-2", 4, 50, 50);
    }
    fixture.warm();
    shard.setPlacementRule((request, running) -> request.isEmpty() || !running.contains("suspect"));
    for (int index = 0; index < fixture.servers.size(); index++) {
      String fingerprint = index == 0 ? "suspect" : "";
      PermitRequest running = fixture.suspect("premium", fingerprint);
      shard.adopt(running, new Permit(running.id(), fixture.id, fixture.name(index), 7), 10);
    }

    shard.request(fixture.suspect("premium", "another suspect"));

    assertThat(fixture.grants(), is(empty()));
    assertThat(fixture.askMany("premium", 3), hasSize(3));
  }
}
