package org.cactusseam.edge.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against times in the log that differ from the ISO form that tools read. */
class BoundedLogTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "2026-12-06T23:55:44.120Z",
        "2026-12-06T23:55:44Z",
        "2026-12-06T23:55:00.007Z",
        "2026-12-06T23:55:00Z",
        "2027-01-01T00:00:00Z",
        "1969-12-31T23:59:59.999Z"
      })
  void times_have_the_iso_form(String text) {
    Instant time = Instant.parse(text);
    assertThat(BoundedLog.formatTime(time.toEpochMilli()), is(time.toString()));
  }
}
