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

/** Guards against closing connections that callers may still use, and against leaking idle ones. */
class IdleConnectionsTest {

  private final IdleConnections<String> connections = new IdleConnections<>();

  @BeforeEach
  void open() {
    connections.recordOpened("connection", Instant.EPOCH);
  }

  private List<String> expired(long limitMillis, long atMillis) {
    return connections.expired(Duration.ofMillis(limitMillis), Instant.ofEpochMilli(atMillis));
  }

  /** Guards against a fixed limit, formerly 25 s, that ignores the configured idle timeout. */
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
  void a_connection_expires_after_the_configured_limit_and_margin(
      long limit, long idleMillis, boolean closed) {
    assertThat(expired(limit, idleMillis), is(closed ? List.of("connection") : List.of()));
  }

  @Test
  void a_connection_with_an_open_request_is_not_idle() {
    connections.recordRequestStart("connection");
    assertThat(expired(1_000, 60_000), is(List.of()));

    connections.recordRequestEnd("connection", Instant.ofEpochMilli(60_000));
    assertThat(expired(1_000, 61_000), is(List.of()));
    assertThat(expired(1_000, 62_000), is(List.of("connection")));
  }

  @Test
  void a_connection_with_one_of_two_requests_open_is_not_idle() {
    connections.recordRequestStart("connection");
    connections.recordRequestStart("connection");
    connections.recordRequestEnd("connection", Instant.ofEpochMilli(10));

    assertThat(expired(1_000, 60_000), is(List.of()));
  }

  @Test
  void a_closed_connection_is_forgotten() {
    connections.recordClosed("connection");
    connections.recordRequestEnd("connection", Instant.ofEpochMilli(10));

    assertThat(expired(1_000, 60_000), is(List.of()));
  }
}
