package org.cactusseam.standin.engine;

import static org.cactusseam.standin.engine.EngineFixture.PROMPT;
import static org.cactusseam.standin.engine.EngineFixture.body;
import static org.cactusseam.standin.engine.EngineFixture.loadNumber;
import static org.cactusseam.standin.engine.EngineFixture.open;
import static org.cactusseam.standin.engine.EngineFixture.resume;
import static org.cactusseam.standin.engine.EngineFixture.start;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cactusseam.standin.StandInFixture;
import org.cactusseam.standin.StandInFixture.Answer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Verifies that the simulated engine follows the protocol of engines. */
class EngineContractTest {

  private static final String CHAT_MESSAGES =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"},"
          + "{\"role\":\"assistant\",\"content\":\"b\"}],\"stream\":true,\"max_tokens\":";

  private static String indexes(int from, int to) {
    return IntStream.range(from, to).mapToObj(i -> "" + i).collect(Collectors.joining(" "));
  }

  @ParameterizedTest(name = "chat {0}, length {1}, max_tokens {2}")
  @CsvSource({
    "false, 1, 99, stop",
    "false, 40, 99, stop",
    "true, 5, 5, stop",
    "true, 9, 4, length"
  })
  void a_stream_has_one_event_for_each_token_and_states_its_end(
      boolean chat, int length, int maxTokens, String finish) {
    String path = chat ? "/v1/chat/completions" : "/v1/completions";
    String request =
        chat
            ? CHAT_MESSAGES + maxTokens + "}"
            : body(PROMPT).replace("}", ",\"max_tokens\":" + maxTokens + "}");
    int expected = Math.min(length, maxTokens);
    try (StandInFixture fixture = start("{}")) {
      HttpResponse<InputStream> response =
          fixture.open("POST", path, request, "Cactusseam-Test-Length", "" + length);
      ServerSentEventReader reader = new ServerSentEventReader(response).readAll();

      assertThat(response.statusCode(), is(200));
      assertThat(
          response.headers().firstValue("Cactusseam-Incarnation"),
          is(Optional.of(fixture.incarnation())));
      assertThat(response.headers().firstValue("Cactusseam-State"), is(Optional.of("warm")));
      assertThat(reader.isDone(), is(true));
      assertThat(reader.indexes(), is(indexes(0, expected)));
      String prompt = chat ? "user: a\nassistant: b" : PROMPT;
      assertThat(reader.text(), is(TokenText.fullOutput(prompt, expected)));
      assertThat(reader.last().finish(), is(Optional.of(finish)));
      assertThat(reader.last().completionTokens(), is(expected));
      long finishes = reader.events().stream().filter(e -> e.finish().isPresent()).count();
      assertThat(finishes, is(1L));
    }
  }

  @Test
  void a_response_without_streaming_is_complete() {
    try (StandInFixture fixture = start("{}")) {
      String request = body(PROMPT).replace("\"stream\":true", "\"stream\":false");
      Answer answer =
          fixture.send("POST", "/v1/completions", request, "Cactusseam-Test-Length", "7");

      assertThat(answer.json().at("/choices/0/text").asText(), is(TokenText.fullOutput(PROMPT, 7)));
      assertThat(answer.json().at("/usage/completion_tokens").asInt(), is(7));
    }
  }

  @Test
  void the_output_length_depends_on_the_prompt_only() {
    try (StandInFixture first = start("{}");
        StandInFixture second = start("{\"seed\":9}")) {
      String request = body("p").replace("\"stream\":true", "\"stream\":false");
      Answer answer = first.send("POST", "/v1/completions", request);

      assertThat(answer.json().at("/usage/completion_tokens").asInt(), is(greaterThan(0)));
      assertThat(
          second.send("POST", "/v1/completions", request).json().get("choices"),
          is(answer.json().get("choices")));
    }
  }

  @Test
  void the_head_is_sent_before_the_first_token() {
    try (StandInFixture fixture = start("{}")) {
      fixture.setFaults("{\"stall\":true}");
      // The call returns with the response head although the engine generates nothing.
      ServerSentEventReader reader = open(fixture, "s", 3);
      assertThat(loadNumber(fixture, "running") + loadNumber(fixture, "waiting"), is(1));
      fixture.setFaults("{\"stall\":false}");
      assertThat(reader.readAll().indexes(), is("0 1 2"));
    }
  }

  @ParameterizedTest(name = "from {0}")
  @CsvSource({"0, 0 1 2 3 4", "3, 3 4", "4, 4", "5, -", "9, -"})
  void a_resume_continues_at_its_index_and_repeats_the_end(int from, String expected) {
    try (StandInFixture fixture = start("{}")) {
      open(fixture, "s", 5).readAll();

      ServerSentEventReader resumed = resume(fixture, "s", from).readAll();

      assertThat(resumed.indexes(), is(expected));
      assertThat(resumed.isDone(), is(true));
      assertThat(resumed.last().finish(), is(Optional.of("stop")));
      assertThat(resumed.last().completionTokens(), is(5));
    }
  }

  @Test
  void a_repeated_identity_attaches_and_the_latest_connection_wins() throws IOException {
    try (StandInFixture fixture = start("{\"step_us\":5000}")) {
      ServerSentEventReader first = open(fixture, "s", 100).read(3);
      ServerSentEventReader second = open(fixture, "s", 50).read(3);
      ServerSentEventReader third = resume(fixture, "s", 2).readAll();

      assertThat(first.readAll().isDone(), is(false));
      assertThat(second.readAll().isDone(), is(false));
      assertThat(third.indexes(), is(indexes(2, 100)));
      assertThat(fixture.get("/violations").json().get("received").asInt(), is(1));
    }
  }

  @Test
  void a_stream_that_nobody_resumes_is_cancelled_after_the_window() throws IOException {
    try (StandInFixture fixture = start("{\"resume_window_ms\":100}")) {
      open(fixture, "s", 50_000).read(2).close();
      StandInFixture.await(() -> fixture.get("/streams/none").status() == 404);
      StandInFixture.await(() -> loadNumber(fixture, "running") == 0);
      assertThat(fixture.get("/streams/s").status(), is(404));
      assertThat(loadNumber(fixture, "memory_used_tokens"), is(0));
    }
  }

  @Test
  void a_stream_that_is_resumed_within_the_window_survives_it() throws IOException {
    try (StandInFixture fixture = start("{\"resume_window_ms\":200}")) {
      open(fixture, "s", 500).read(2).close();
      assertThat(resume(fixture, "s", 2).readAll().indexes(), is(indexes(2, 500)));
    }
  }

  @Test
  void a_cancelled_stream_ends_and_does_not_run_again() throws IOException {
    try (StandInFixture fixture = start("{}")) {
      ServerSentEventReader reader = open(fixture, "s", 50_000).read(3);

      assertThat(fixture.send("DELETE", "/streams/s", "").status(), is(204));
      assertThat(fixture.send("DELETE", "/streams/none", "").status(), is(404));

      assertThat(reader.readAll().last().finish(), is(Optional.of("cancelled")));
      assertThat(loadNumber(fixture, "running"), is(0));
      assertThat(open(fixture, "s", 5).readAll().last().finish(), is(Optional.of("cancelled")));
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"models\":\"other\"}|x|503|model_not_loaded",
        "{\"waiting_limit\":0}|x|503|overloaded",
        "{\"memory_tokens\":3}|a prompt of more than 3 tokens|503|too_large"
      })
  void a_refusal_says_that_the_request_did_not_run(
      String settings, String prompt, int status, String error) {
    try (StandInFixture fixture = start(settings)) {
      Answer answer = fixture.send("POST", "/v1/completions", body(prompt));

      assertThat(answer.status(), is(status));
      assertThat(answer.json().get("error").asText(), is(error));
      assertThat(answer.header("Cactusseam-Not-Run"), is("true"));
      assertThat(answer.header("Cactusseam-Incarnation"), is(fixture.incarnation()));
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "/v1/completions|{\"model\":\"m\"}",
        "/v1/completions|{\"prompt\":\"m\"}",
        "/v1/completions|no JSON",
        "/v1/completions|{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
        "/v1/chat/completions|{\"model\":\"m\",\"messages\":[]}",
        "/orders|{\"order\":\"explode\",\"name\":\"a\",\"fencing_number\":1}"
      })
  void an_invalid_request_is_refused(String path, String body) {
    try (StandInFixture fixture = start("{}")) {
      assertThat(fixture.send("POST", path, body).status(), is(400));
    }
  }

  @Test
  void requests_enter_the_batch_by_priority() throws IOException {
    try (StandInFixture fixture = start("{\"batch_limit\":1}")) {
      HttpResponse<InputStream> low =
          fixture.open(
              "POST",
              "/v1/completions",
              body("low"),
              "Cactusseam-Test-Length",
              "50000",
              "Cactusseam-Priority",
              "5");
      new ServerSentEventReader(low).read(2);

      assertThat(open(fixture, "high", 5).readAll().isDone(), is(true));
      assertThat(loadNumber(fixture, "preemptions"), is(1));
    }
  }

  @Test
  void a_cold_engine_crashes_beyond_its_limit_and_reports_the_violation() {
    try (StandInFixture fixture = start("{\"cold_ms\":60000,\"cold_limit\":1}")) {
      String before = fixture.incarnation();
      ServerSentEventReader reader = open(fixture, "s1", 50_000);
      assertThat(fixture.get("/load").header("Cactusseam-State"), is("cold"));
      fixture.sendExpectingDisconnect("POST", "/v1/completions", body("p"));

      assertThat(reader.readAll().isDone(), is(false));
      fixture.awaitRestart(before);
      assertThat(fixture.get("/streams/s1").status(), is(404));
      JsonNode report = fixture.get("/violations?after_ms=0").json();
      assertThat(report.get("cold_violations").asInt(), is(1));
      assertThat(report.get("received_after").asInt(), is(2));
      long future = System.currentTimeMillis() + 60_000;
      assertThat(
          fixture.get("/violations?after_ms=" + future).json().get("received_after").asInt(),
          is(0));
    }
  }

  @Test
  void the_load_report_has_all_members() {
    try (StandInFixture fixture = start("{\"models\":\"a,b\",\"memory_tokens\":77}")) {
      JsonNode report = fixture.get("/load").json();
      String expected =
          "{\"incarnation\":\"%s\",\"state\":\"warm\",\"running\":0,\"waiting\":0,"
              + "\"memory_used_tokens\":0,\"memory_total_tokens\":77,\"preemptions\":0,"
              + "\"report_age_ms\":0,\"orders_in_progress\":[],"
              + "\"role\":\"serve\",\"models\":[\"a\",\"b\"],\"adapters\":[],\"versions\":[],"
              + "\"orders_applied\":0}";
      String incarnation = report.get("incarnation").asText();
      assertThat(report, is(StandInFixture.parse(expected.formatted(incarnation))));
    }
  }

  private static Answer order(StandInFixture fixture, String order, String name, int number) {
    String body = "{\"order\":\"%s\",\"name\":\"%s\",\"fencing_number\":%d}";
    return fixture.send("POST", "/orders", body.formatted(order, name, number));
  }

  @ParameterizedTest
  @CsvSource({
    "load_model, models, [\"x\"]",
    "load_adapter, adapters, [\"x\"]",
    "load_version, versions, [\"x\"]",
    "change_role, role, \"x\""
  })
  void an_order_changes_the_load_report_once(String order, String member, String expected) {
    try (StandInFixture fixture = start("{\"order_ms\":10}")) {
      assertThat(order(fixture, order, "x", 5).json().get("applied").asBoolean(), is(true));
      assertThat(order(fixture, order, "x", 5).json().get("applied").asBoolean(), is(false));
      assertThat(order(fixture, order, "y", 4).status(), is(409));
      StandInFixture.await(() -> loadNumber(fixture, "orders_applied") == 1);
      assertThat(fixture.get("/load").json().get(member), is(StandInFixture.parse(expected)));
      assertThat(order(fixture, order, "y", 6).json().get("applied").asBoolean(), is(true));
    }
  }

  @Test
  void an_order_in_progress_is_in_the_load_report_until_its_effect_shows() {
    try (StandInFixture fixture = start("{\"order_ms\":300}")) {
      order(fixture, "load_model", "x", 5);

      String expected = "[{\"order\":\"load_model\",\"name\":\"x\",\"fencing_number\":5}]";
      JsonNode report = fixture.get("/load").json();
      assertThat(report.get("orders_in_progress"), is(StandInFixture.parse(expected)));
      assertThat(report.get("models"), is(StandInFixture.parse("[]")));
      StandInFixture.await(() -> fixture.get("/load").json().get("orders_in_progress").isEmpty());
      assertThat(fixture.get("/load").json().get("models"), is(StandInFixture.parse("[\"x\"]")));
    }
  }

  @Test
  void cache_events_are_numbered_and_can_be_read_from_a_number() {
    try (StandInFixture fixture = start("{\"block_tokens\":1,\"cache_blocks\":2}")) {
      open(fixture, "s", 1, "aaaabbbbcccc").readAll();

      JsonNode events = fixture.get("/cache-events?from=1").json().get("events");

      assertThat(events.findValuesAsText("number"), is(java.util.List.of("1", "2", "3")));
      assertThat(
          events.findValuesAsText("type"), is(java.util.List.of("stored", "stored", "evicted")));
      JsonNode first = fixture.get("/cache-events").json().at("/events/0");
      assertThat(events.get(2).get("prefix_hash"), is(first.get("prefix_hash")));
    }
  }
}
