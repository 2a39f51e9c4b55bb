package org.cactusseam.standin.engine;

import static org.cactusseam.standin.engine.EngineFixture.PROMPT;
import static org.cactusseam.standin.engine.EngineFixture.body;
import static org.cactusseam.standin.engine.EngineFixture.loadNumber;
import static org.cactusseam.standin.engine.EngineFixture.open;
import static org.cactusseam.standin.engine.EngineFixture.resume;
import static org.cactusseam.standin.engine.EngineFixture.start;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.stream.Stream;
import org.cactusseam.standin.FaultCase;
import org.cactusseam.standin.ManualClock;
import org.cactusseam.standin.StandInFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Verifies that each fault of the simulated engine has its intended effect. */
class EngineFaultTest {

  private static final int LONG_OUTPUT_TOKENS = 50_000;
  private static final String ONE_TOKEN_BLOCKS = "{\"block_tokens\":1}";

  static Stream<FaultCase> faults() {
    return Stream.of(
        new FaultCase("crashAfterMs", EngineFaultTest::a_crash_drops_all_connections),
        new FaultCase("coldAfterMs", EngineFaultTest::the_engine_turns_cold_silently),
        new FaultCase("stall", EngineFaultTest::a_stall_stops_tokens_but_not_reports),
        new FaultCase("crashText", EngineFaultTest::a_text_in_a_prompt_crashes_the_engine),
        new FaultCase("loadLagMs", EngineFaultTest::load_reports_are_lagged),
        new FaultCase("cacheEventLagMs", EngineFaultTest::cache_events_are_late),
        new FaultCase("cacheEventGapEvery", EngineFaultTest::cache_events_have_gaps),
        new FaultCase("ignoreFencing", EngineFaultTest::fencing_numbers_are_ignored),
        new FaultCase("resumeReplayTokens", EngineFaultTest::a_resume_replays_tokens),
        new FaultCase("dropTokenIndex", EngineFaultTest::one_token_event_is_dropped_once),
        new FaultCase("loseOrderAnswers", EngineFaultTest::the_answer_to_an_order_is_lost));
  }

  @Test
  void each_fault_is_covered() {
    FaultCase.assertEachFaultIsCovered(EngineFaults.class, faults());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void a_fault_has_its_effect(FaultCase fault) {
    try (StandInFixture fixture = start(ONE_TOKEN_BLOCKS)) {
      fault.check().accept(fixture);
    }
  }

  private static void a_crash_drops_all_connections(StandInFixture fixture) {
    String before = fixture.incarnation();
    ServerSentEventReader first = readTwoEvents(open(fixture, "s1", LONG_OUTPUT_TOKENS));
    ServerSentEventReader second = readTwoEvents(open(fixture, "s2", LONG_OUTPUT_TOKENS));
    fixture.setFaults("{\"crash_after_ms\":20}");
    assertThat(first.readAll().isDone(), is(false));
    assertThat(second.readAll().isDone(), is(false));
    fixture.awaitRestart(before);
    assertThat(fixture.get("/streams/s1").status(), is(404));
    assertThat(loadNumber(fixture, "running"), is(0));
    fixture.send("DELETE", "/faults", "");
    assertThat(open(fixture, "s3", 3).readAll().indexes(), is("0 1 2"));
  }

  private static ServerSentEventReader readTwoEvents(ServerSentEventReader reader) {
    try {
      return reader.read(2);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void a_crash_also_drops_connections_that_are_kept_while_new_ones_are_refused() {
    try (StandInFixture fixture = start("{}")) {
      String before = fixture.incarnation();
      ServerSentEventReader reader = readTwoEvents(open(fixture, "s1", LONG_OUTPUT_TOKENS));
      fixture.setFaults("{\"refuse_connections_ms\":300}");
      StandInFixture.await(fixture::refusesConnections);
      int seen = reader.events().size();
      assertThat(readEvents(reader, seen + 20), is(seen + 20));

      fixture.setFaults("{\"crash_after_ms\":0}");

      assertThat(reader.readAll().isDone(), is(false));
      fixture.awaitRestart(before);
      assertThat(open(fixture, "s2", 3).readAll().indexes(), is("0 1 2"));
    }
  }

  @Test
  void a_crashed_engine_refuses_connections_until_it_restarts() {
    try (StandInFixture fixture = start("{\"restart_ms\":3600000}")) {
      fixture.setFaults("{\"crash_after_ms\":0}");
      StandInFixture.await(fixture::refusesConnections);
      fixture.admin("DELETE", "/faults", "");
      assertThat(fixture.refusesConnections(), is(true));
    }
  }

  @Test
  void the_stream_of_a_caller_that_disconnected_while_the_engine_hung_is_removed() {
    try (StandInFixture fixture = start("{\"resume_window_ms\":50}")) {
      fixture.setFaults("{\"hang\":true}");
      fixture.sendAndDisconnect(
          "/v1/completions", body(PROMPT), "Cactusseam-Test-Length: " + LONG_OUTPUT_TOKENS);
      // After these responses, the engine has received the request and the close of its connection.
      for (int i = 0; i < 20; i++) {
        fixture.get("/faults");
      }
      fixture.setFaults("{\"hang\":false}");
      assertThat(fixture.get("/violations").json().get("received").asInt(), is(1));
      StandInFixture.await(() -> loadNumber(fixture, "running") == 0);
    }
  }

  private static int readEvents(ServerSentEventReader reader, int count) {
    try {
      return reader.read(count).events().size();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void the_engine_turns_cold_silently(StandInFixture fixture) {
    String before = fixture.incarnation();
    fixture.setFaults("{\"cold_after_ms\":0}");
    assertThat(fixture.get("/load").json().get("state").asText(), is("cold"));
    assertThat(fixture.incarnation(), is(before));
  }

  private static void a_stall_stops_tokens_but_not_reports(StandInFixture fixture) {
    ServerSentEventReader reader = readTwoEvents(open(fixture, "s", 200));
    fixture.setFaults("{\"stall\":true}");
    int memory = loadNumber(fixture, "memory_used_tokens");
    for (int i = 0; i < 20; i++) {
      assertThat(loadNumber(fixture, "memory_used_tokens"), is(memory));
    }
    fixture.setFaults("{\"stall\":false}");
    assertThat(reader.readAll().events().size(), is(200));
  }

  private static void a_text_in_a_prompt_crashes_the_engine(StandInFixture fixture) {
    String before = fixture.incarnation();
    fixture.setFaults("{\"crash_text\":\"poison\"}");
    assertThat(open(fixture, "s1", 2, "harmless").readAll().isDone(), is(true));
    assertThat(fixture.incarnation(), is(before));
    fixture.sendExpectingDisconnect("POST", "/v1/completions", body("some poison here"));
    fixture.awaitRestart(before);
  }

  private static void load_reports_are_lagged(StandInFixture ignored) {
    ManualClock clock = new ManualClock();
    try (StandInFixture fixture = start("{\"step_us\":1000000}", clock)) {
      fixture.setFaults("{\"load_lag_ms\":500}");
      open(fixture, "s", LONG_OUTPUT_TOKENS);
      clock.advance(499);
      assertThat(loadNumber(fixture, "running"), is(0));
      fixture.setFaults("{\"load_lag_ms\":498}");
      clock.advance(500);
      StandInFixture.await(() -> loadNumber(fixture, "running") == 1);
    }
  }

  private static void cache_events_are_late(StandInFixture ignored) {
    ManualClock clock = new ManualClock();
    try (StandInFixture fixture = start(ONE_TOKEN_BLOCKS, clock)) {
      fixture.setFaults("{\"cache_event_lag_ms\":500}");
      open(fixture, "s", 1, "aaaabbbb");
      clock.advance(100);
      assertThat(numbers(fixture), is(List.of()));
      clock.advance(500);
      assertThat(numbers(fixture), is(List.of("0", "1")));
    }
  }

  private static List<String> numbers(StandInFixture fixture) {
    JsonNode events = fixture.get("/cache-events").json().get("events");
    return events.findValuesAsText("number");
  }

  private static void cache_events_have_gaps(StandInFixture fixture) {
    fixture.setFaults("{\"cache_event_gap_every\":2}");
    open(fixture, "s", 1, "aaaabbbbccccdddd").readAll();
    assertThat(numbers(fixture), is(List.of("1", "3")));
  }

  private static int status(StandInFixture fixture, int fencingNumber) {
    return fixture
        .send(
            "POST",
            "/v1/completions",
            body(PROMPT),
            "Cactusseam-Fencing-Number",
            "" + fencingNumber,
            "Cactusseam-Test-Length",
            "1")
        .status();
  }

  private static void fencing_numbers_are_ignored(StandInFixture fixture) {
    assertThat(status(fixture, 7), is(200));
    assertThat(status(fixture, 7), is(200));
    assertThat(status(fixture, 6), is(409));
    assertThat(fixture.get("/violations").json().get("received").asInt(), is(2));
    fixture.setFaults("{\"ignore_fencing\":true}");
    assertThat(status(fixture, 6), is(200));
    String order = "{\"order\":\"load_model\",\"name\":\"a\",\"fencing_number\":3}";
    for (int i = 0; i < 2; i++) {
      assertThat(
          fixture.send("POST", "/orders", order).json().get("applied").asBoolean(), is(true));
    }
  }

  private static void a_resume_replays_tokens(StandInFixture fixture) {
    open(fixture, "s", 6).readAll();
    fixture.setFaults("{\"resume_replay_tokens\":2}");
    assertThat(resume(fixture, "s", 4).readAll().indexes(), is("2 3 4 5"));
    assertThat(resume(fixture, "s", 1).readAll().indexes(), is("0 1 2 3 4 5"));
  }

  private static void one_token_event_is_dropped_once(StandInFixture fixture) {
    fixture.setFaults("{\"drop_token_index\":2}");
    assertThat(open(fixture, "s1", 4).readAll().indexes(), is("0 1 3"));
    assertThat(resume(fixture, "s1", 2).readAll().indexes(), is("2 3"));
    ServerSentEventReader last = open(fixture, "s2", 3).readAll();
    assertThat(last.indexes(), is("0 1 -"));
    assertThat(last.last().completionTokens(), is(3));
  }

  private static void the_answer_to_an_order_is_lost(StandInFixture fixture) {
    fixture.setFaults("{\"lose_order_answers\":1}");
    String order = "{\"order\":\"load_model\",\"name\":\"a\",\"fencing_number\":3}";
    fixture.sendExpectingDisconnect("POST", "/orders", order);
    StandInFixture.await(() -> loadNumber(fixture, "orders_applied") == 1);
    assertThat(fixture.send("POST", "/orders", order).json().get("applied").asBoolean(), is(false));
    assertThat(loadNumber(fixture, "orders_applied"), is(lessThanOrEqualTo(1)));
  }
}
