package org.cactusseam.standin.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cactusseam.standin.Endpoint;
import org.cactusseam.standin.FaultCase;
import org.cactusseam.standin.ManualClock;
import org.cactusseam.standin.StandInFixture;
import org.cactusseam.standin.StandInFixture.Answer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Verifies that the simulated log follows the protocol of the platform and that each of its faults
 * has an effect.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class LogContractTest {

  private static final String CONTROL_RECORDS_PATH = "/streams/control/records";

  private final ManualClock clock = new ManualClock();

  private StandInFixture start() {
    return StandInFixture.start(new LogStandIn(Endpoint.anyLoopback(), LogFaults.NONE, clock));
  }

  private static Answer append(StandInFixture fixture, String value) {
    return fixture.send("POST", CONTROL_RECORDS_PATH, value);
  }

  private static JsonNode read(StandInFixture fixture) {
    return fixture.get(CONTROL_RECORDS_PATH + "?from=0").json();
  }

  private static List<String> values(JsonNode answer) {
    return answer.get("records").valueStream().map(node -> node.get("value").asText()).toList();
  }

  @Test
  void streams_have_their_own_offsets_and_return_the_bytes_that_were_appended() {
    try (StandInFixture fixture = start()) {
      assertThat(append(fixture, "{\"a\":\"ä\"}").json().get("offset").asLong(), is(0L));
      assertThat(append(fixture, "second").json().get("offset").asLong(), is(1L));
      Answer other = fixture.send("POST", "/streams/claims/records", "x");
      assertThat(other.json().get("offset").asLong(), is(0L));
      assertThat(values(fixture.get("/streams/claims/records").json()), is(List.of("x")));

      String first =
          "{\"offset\":0,\"appended_at_ms\":"
              + clock.millis()
              + ",\"value\":\"{\\\"a\\\":\\\"ä\\\"}\"}";
      assertThat(
          fixture.get(CONTROL_RECORDS_PATH + "?from=0&limit=1").json(),
          is(StandInFixture.parse("{\"records\":[" + first + "],\"earliest\":0,\"end\":2}")));
    }
  }

  @ParameterizedTest(name = "from {0}, limit {1}")
  @CsvSource({"0, 9, a b c", "1, 9, b c", "1, 1, b", "3, 9, ''", "7, 9, ''", "0, 0, ''"})
  void a_read_returns_the_records_from_an_offset(long from, long limit, String expected) {
    try (StandInFixture fixture = start()) {
      List.of("a", "b", "c").forEach(value -> append(fixture, value));

      JsonNode answer =
          fixture.get(CONTROL_RECORDS_PATH + "?from=" + from + "&limit=" + limit).json();

      assertThat(String.join(" ", values(answer)), is(expected));
      assertThat(answer.get("end").asLong(), is(3L));
    }
  }

  @ParameterizedTest
  @CsvSource({"GET, control, from=x", "GET, control, from=-1", "GET, a%20b, ''", "POST, a%2Fb, ''"})
  void an_invalid_request_is_refused(String method, String stream, String query) {
    try (StandInFixture fixture = start()) {
      String path = "/streams/" + stream + "/records?" + query;
      assertThat(fixture.send(method, path, "").status(), is(400));
    }
  }

  @Test
  void a_long_poll_ends_with_the_next_record_or_after_its_time() {
    try (StandInFixture fixture = start()) {
      assertThat(
          values(fixture.get(CONTROL_RECORDS_PATH + "?from=0&wait_ms=20").json()).size(), is(0));

      CompletableFuture<Answer> poll =
          fixture.sendAsync("GET", CONTROL_RECORDS_PATH + "?from=1&wait_ms=9000", "");
      append(fixture, "a");
      append(fixture, "b");

      assertThat(values(poll.join().json()), is(List.of("b")));
    }
  }

  @Test
  void an_outage_ends_a_long_poll() {
    try (StandInFixture fixture = start()) {
      CompletableFuture<Answer> poll =
          fixture.sendAsync("GET", CONTROL_RECORDS_PATH + "?from=0&wait_ms=9000", "");
      // When a second long poll has timed out, the first one is known to be waiting.
      fixture.get(CONTROL_RECORDS_PATH + "?from=0&wait_ms=20");
      fixture.setFaults("{\"outage\":true}");
      assertThat(poll.join().status(), is(503));
    }
  }

  Stream<FaultCase> faults() {
    return Stream.concat(answerFaults(), limits());
  }

  private static Stream<FaultCase> answerFaults() {
    return Stream.of(
        new FaultCase(
            "outage",
            fixture -> {
              fixture.setFaults("{\"outage\":true}");
              assertThat(append(fixture, "a").status(), is(503));
              assertThat(fixture.get(CONTROL_RECORDS_PATH).status(), is(503));
              fixture.setFaults("{\"outage\":false}");
              assertThat(values(read(fixture)), is(List.of()));
            }),
        new FaultCase(
            "slowMs",
            fixture -> {
              fixture.setFaults("{\"slow_ms\":80}");
              long begin = System.nanoTime();
              append(fixture, "a");
              long millis = Duration.ofNanos(System.nanoTime() - begin).toMillis();
              assertThat(millis, is(greaterThanOrEqualTo(79L)));
            }),
        new FaultCase(
            "loseAppendAnswers",
            fixture -> {
              fixture.setFaults("{\"lose_append_answers\":1}");
              fixture.sendExpectingDisconnect("POST", CONTROL_RECORDS_PATH, "a");
              assertThat(append(fixture, "b").status(), is(200));
              assertThat(values(read(fixture)), is(List.of("a", "b")));
            }),
        new FaultCase(
            "failAppends",
            fixture -> {
              fixture.setFaults("{\"fail_appends\":1}");
              assertThat(append(fixture, "a").status(), is(500));
              assertThat(append(fixture, "b").status(), is(200));
              assertThat(values(read(fixture)), is(List.of("b")));
            }),
        new FaultCase(
            "lateAppends",
            fixture -> {
              fixture.setFaults("{\"late_appends\":-1,\"late_append_ms\":100}");
              fixture.sendExpectingDisconnect("POST", CONTROL_RECORDS_PATH, "a");
              assertThat(values(read(fixture)), is(List.of()));
              fixture.sendExpectingDisconnect("POST", CONTROL_RECORDS_PATH, "b");
              StandInFixture.await(() -> values(read(fixture)).equals(List.of("a", "b")));
            }),
        new FaultCase(
            "lateAppendMs",
            fixture -> {
              fixture.setFaults("{\"late_appends\":1,\"late_append_ms\":0}");
              fixture.sendExpectingDisconnect("POST", CONTROL_RECORDS_PATH, "a");
              assertThat(values(read(fixture)), is(List.of("a")));
            }));
  }

  private Stream<FaultCase> limits() {
    return Stream.of(
        new FaultCase(
            "retentionMs",
            fixture -> {
              fixture.setFaults("{\"retention_ms\":1000}");
              append(fixture, "a");
              clock.advance(600);
              append(fixture, "b");
              clock.advance(400);
              StandInFixture.await(() -> values(read(fixture)).equals(List.of("b")));
              assertThat(read(fixture).get("earliest").asLong(), is(1L));
              clock.advance(600);
              StandInFixture.await(() -> read(fixture).get("earliest").asLong() == 2);
              assertThat(append(fixture, "c").json().get("offset").asLong(), is(2L));
            }),
        new FaultCase(
            "retentionRecords",
            fixture -> {
              fixture.setFaults("{\"retention_records\":2}");
              List.of("a", "b", "c").forEach(value -> append(fixture, value));
              assertThat(values(read(fixture)), is(List.of("b", "c")));
              assertThat(read(fixture).get("earliest").asLong(), is(1L));
            }),
        new FaultCase(
            "appendsPerSecond",
            fixture -> {
              fixture.setFaults("{\"appends_per_second\":0.01}");
              List<Integer> statuses =
                  IntStream.range(0, 5).mapToObj(i -> append(fixture, "a").status()).toList();
              assertThat(statuses, is(List.of(200, 429, 429, 429, 429)));
              assertThat(values(read(fixture)).size(), is(1));
              fixture.setFaults("{\"appends_per_second\":0}");
              assertThat(append(fixture, "b").status(), is(lessThan(300)));
            }));
  }

  @Test
  void each_fault_is_covered() {
    FaultCase.assertEachFaultIsCovered(LogFaults.class, faults());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void a_fault_has_its_effect(FaultCase fault) {
    try (StandInFixture fixture = start()) {
      fault.check().accept(fixture);
    }
  }
}
