package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against connections that are closed while callers may use them, and against leaks. */
class IdleConnectionsTest {

  private final IdleConnections<String> times = new IdleConnections<>();

  @BeforeEach
  void open() {
    times.opened("connection", Instant.EPOCH);
  }

  private List<String> expired(long limitMillis, long atMillis) {
    return times.expired(Duration.ofMillis(limitMillis), Instant.ofEpochMilli(atMillis));
  }

  /** The limit was a constant of 25 s, however long callers were allowed to stay idle. */
  @ParameterizedTest(name = "limit {0} ms, idle for {1} ms: closed {2}")
  @CsvSource({
    "15000, 15000, false",
    "15000, 24000, false",
    "15000, 24001, true",
    "40000, 32000, false",
    "40000, 64001, true",
    "5000, 4000, false",
    "5000, 8001, true"
  })
  void the_limit_of_the_configuration_decides(long limit, long idle, boolean closed) {
    assertThat(expired(limit, idle), is(closed ? List.of("connection") : List.of()));
  }

  @Test
  void a_connection_with_a_request_is_not_idle() {
    times.requestStarted("connection");
    assertThat(expired(1_000, 60_000), is(List.of()));

    times.requestEnded("connection", Instant.ofEpochMilli(60_000));
    assertThat(expired(1_000, 61_000), is(List.of()));
    assertThat(expired(1_000, 62_000), is(List.of("connection")));
  }

  @Test
  void the_second_of_two_requests_keeps_its_connection() {
    times.requestStarted("connection");
    times.requestStarted("connection");
    times.requestEnded("connection", Instant.ofEpochMilli(10));

    assertThat(expired(1_000, 60_000), is(List.of()));
  }

  @Test
  void a_closed_connection_is_forgotten() {
    times.closed("connection");
    times.requestEnded("connection", Instant.ofEpochMilli(10));

    assertThat(expired(1_000, 60_000), is(List.of()));
  }
}
