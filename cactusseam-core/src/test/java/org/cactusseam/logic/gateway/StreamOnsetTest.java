package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that are cleared of a crash by the event that precedes it, and against
 * suspecting every stream that ran on a server that crashed.
 */
class StreamOnsetTest {

  private static final Instant START = Instant.EPOCH;

  private final StreamOnset onset = new StreamOnset();

  /** Guards against a crash without a suspect, because the server sent a head but no event. */
  @Test
  void a_stream_without_an_event_is_suspect_however_long_it_waits() {
    assertThat(onset.isSuspect(START.plusSeconds(30)), is(true));
  }

  /** Guards against suspecting streams that began long before the crash. */
  @ParameterizedTest(name = "{0} ms after the first event: suspect {1}")
  @CsvSource({"0, true", "40, true", "500, true", "501, false", "9000, false"})
  void a_stream_is_suspect_only_shortly_after_its_first_event(long millis, boolean suspect) {
    onset.recordEvent(START);
    onset.recordEvent(START.plusMillis(millis));

    assertThat(onset.isSuspect(START.plusMillis(millis)), is(suspect));
  }

  /** Guards against clearing a request by an event that its server does not survive. */
  @ParameterizedTest(name = "second event after {0} ms: shows survival {1}")
  @CsvSource({"0, false", "40, false", "500, false", "501, true"})
  void an_event_shows_survival_only_some_time_after_the_first_one(long millis, boolean shown) {
    assertThat(onset.recordEvent(START), is(false));

    assertThat(onset.recordEvent(START.plusMillis(millis)), is(shown));
  }

  /** Guards against clearing the request anew with each event of a long stream. */
  @Test
  void survival_is_shown_once() {
    onset.recordEvent(START);
    onset.recordEvent(START.plusSeconds(1));

    assertThat(onset.recordEvent(START.plusSeconds(2)), is(false));
    assertThat(onset.recordEnd(), is(false));
  }

  /** Guards against short streams that never clear the prompt parts they share with others. */
  @Test
  void a_short_stream_that_ends_normally_shows_survival() {
    onset.recordEvent(START);

    assertThat(onset.recordEnd(), is(true));
  }

  /** Guards against taking an empty answer for a harmless run. */
  @Test
  void the_end_of_a_stream_without_events_shows_nothing() {
    assertThat(onset.recordEnd(), is(false));
  }
}
