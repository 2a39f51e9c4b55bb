package org.cactusseam.standin.plain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cactusseam.standin.Endpoint;
import org.cactusseam.standin.FaultCase;
import org.cactusseam.standin.StandInFixture;
import org.cactusseam.standin.StandInFixture.Answer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Verifies that the simulated plain service follows its protocol and that each of its faults has an
 * effect.
 */
class PlainContractTest {

  /**
   * Duration of a request while others wait. All three are in the service for at most this time; at
   * 300 ms, a test thread that was delayed by other load missed the state.
   */
  private static final int WAITING_TEST_WORK_MILLIS = 2_000;

  private static final String KEY = "Idempotency-Key";
  private static final PlainOptions FAST = new PlainOptions(1, 16, 0, 2, 50);

  private static StandInFixture start(PlainOptions options) {
    return StandInFixture.start(
        new PlainServiceStandIn(
            Endpoint.anyLoopback(), options, PlainFaults.NONE, Clock.systemUTC()));
  }

  private static int executions(StandInFixture fixture, String key) {
    return fixture.admin("GET", "/executions", "").json().path("executions").path(key).asInt();
  }

  @ParameterizedTest
  @CsvSource({"GET, /a?x=1, ''", "POST, /bookings, body ä", "PUT, /b/c, z", "DELETE, /d, ''"})
  void the_answer_repeats_the_request_and_has_the_headers(String method, String path, String body) {
    try (StandInFixture fixture = start(FAST)) {
      Answer answer = fixture.send(method, path, body, KEY, "k1");

      assertThat(answer.status(), is(200));
      assertThat(answer.header("Cactusseam-Incarnation"), is(fixture.incarnation()));
      assertThat(answer.header("Cactusseam-State"), is("warm"));
      JsonNode json = answer.json();
      assertThat(json.get("method").asText(), is(method));
      assertThat(json.get("uri").asText(), is(path));
      assertThat(json.get("body").asText(), is(body));
      assertThat(json.get("idempotency_key").asText(), is("k1"));
    }
  }

  @Test
  void each_execution_of_a_key_is_counted_also_repeated_ones() {
    try (StandInFixture fixture = start(FAST)) {
      fixture.send("POST", "/b", "", KEY, "k1");
      fixture.send("POST", "/b", "", KEY, "k1");
      fixture.send("POST", "/b", "", KEY, "k2");
      fixture.send("POST", "/b", "");

      assertThat(
          fixture.get("/executions").json(),
          is(
              StandInFixture.parse(
                  "{\"total\":4,\"without_key\":1,\"executions\":{\"k1\":2,\"k2\":1}}")));
    }
  }

  @Test
  void requests_beyond_the_workers_wait() {
    try (StandInFixture fixture = start(new PlainOptions(WAITING_TEST_WORK_MILLIS, 1, 0, 2, 50))) {
      List<CompletableFuture<Answer>> answers =
          IntStream.range(0, 3).mapToObj(i -> fixture.sendAsync("POST", "/b", "" + i)).toList();
      StandInFixture.await(() -> fixture.get("/load").json().get("waiting").asInt() == 2);

      assertThat(fixture.get("/load").json().get("running").asInt(), is(1));
      for (int i = 0; i < answers.size(); i++) {
        assertThat(answers.get(i).join().json().get("body").asText(), is("" + i));
      }
    }
  }

  @Test
  void a_cold_service_crashes_beyond_its_limit_and_reports_the_violation() {
    try (StandInFixture fixture = start(new PlainOptions(300, 16, 60_000, 2, 50))) {
      String before = fixture.incarnation();
      assertThat(fixture.get("/load").header("Cactusseam-State"), is("cold"));
      List<CompletableFuture<Answer>> answers =
          IntStream.range(0, 3).mapToObj(i -> fixture.sendAsync("POST", "/b", "" + i)).toList();

      answers.forEach(answer -> assertThat(answer.handle((a, e) -> e != null).join(), is(true)));
      fixture.awaitRestart(before);
      JsonNode report = fixture.get("/violations?after_ms=0").json();
      assertThat(report.get("cold_violations").asInt(), is(1));
      assertThat(report.get("received_after").asInt(), is(3));
      assertThat(
          fixture
              .get("/violations?after_ms=" + System.currentTimeMillis())
              .json()
              .get("received_after")
              .asInt(),
          is(0));
    }
  }

  @Test
  void finished_requests_of_a_cold_service_make_room() {
    try (StandInFixture fixture = start(new PlainOptions(1, 16, 60_000, 1, 50))) {
      for (int i = 0; i < 5; i++) {
        assertThat(fixture.send("POST", "/b", "").status(), is(200));
      }
      assertThat(fixture.get("/violations").json().get("cold_violations").asInt(), is(0));
    }
  }

  private static void assertCrash(StandInFixture fixture, int executions) {
    String before = fixture.incarnation();
    fixture.sendExpectingDisconnect("POST", "/b", "", KEY, "k1");
    assertThat(executions(fixture, "k1"), is(executions));
    fixture.awaitRestart(before);
    assertThat(fixture.send("POST", "/b", "", KEY, "k1").status(), is(200));
    assertThat(executions(fixture, "k1"), is(executions + 1));
  }

  static Stream<FaultCase> faults() {
    return Stream.of(
        new FaultCase(
            "slowMs",
            fixture -> {
              fixture.setFaults("{\"slow_ms\":80}");
              long begin = System.nanoTime();
              fixture.send("POST", "/b", "");
              long millis = Duration.ofNanos(System.nanoTime() - begin).toMillis();
              assertThat(millis, is(greaterThanOrEqualTo(79L)));
            }),
        new FaultCase(
            "crashAfterMs",
            fixture -> {
              String before = fixture.incarnation();
              fixture.setFaults("{\"crash_after_ms\":20}");
              fixture.awaitRestart(before);
            }),
        new FaultCase(
            "coldAfterMs",
            fixture -> {
              String before = fixture.incarnation();
              StandInFixture.await(() -> state(fixture).equals("warm"));
              fixture.setFaults("{\"cold_after_ms\":0}");
              assertThat(state(fixture), is("cold"));
              assertThat(fixture.incarnation(), is(before));
            }),
        new FaultCase(
            "crashBeforeExecutions",
            fixture -> {
              fixture.setFaults("{\"crash_before_executions\":1}");
              assertCrash(fixture, 0);
            }),
        new FaultCase(
            "crashAfterExecutions",
            fixture -> {
              fixture.setFaults("{\"crash_after_executions\":1}");
              assertCrash(fixture, 1);
            }),
        new FaultCase(
            "loseAnswers",
            fixture -> {
              String before = fixture.incarnation();
              fixture.setFaults("{\"lose_answers\":1}");
              fixture.sendExpectingDisconnect("POST", "/b", "", KEY, "k1");
              assertThat(executions(fixture, "k1"), is(1));
              assertThat(fixture.send("POST", "/b", "", KEY, "k1").status(), is(200));
              assertThat(fixture.incarnation(), is(before));
            }));
  }

  private static String state(StandInFixture fixture) {
    return fixture.get("/load").json().get("state").asText();
  }

  @Test
  void each_fault_is_covered() {
    FaultCase.assertEachFaultIsCovered(PlainFaults.class, faults());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void a_fault_has_its_effect(FaultCase fault) {
    try (StandInFixture fixture = start(new PlainOptions(1, 16, 100, 2, 50))) {
      fault.check().accept(fixture);
    }
  }
}
