package org.cactusseam.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against durations that are parsed as another duration than the one that was formatted, and
 * against malformed text that is accepted or throws.
 */
class DurationTextTest {

  @ParameterizedTest
  @CsvSource({
    "500ms, PT0.5S",
    "3s, PT3S",
    "10min, PT10M",
    "12h, PT12H",
    "7d, P7D",
    "0ms, PT0S",
    "999999999d, P999999999D"
  })
  void a_number_with_a_unit_is_a_duration(String text, Duration expected) {
    assertThat(DurationText.parse(text), is(Optional.of(expected)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "5",
        "s",
        "5 s",
        "5m",
        "5S",
        "-5s",
        "+5s",
        "1.5s",
        "5s5s",
        "1000000000s",
        "٣s"
      })
  void other_text_is_not_a_duration(String text) {
    assertThat(DurationText.parse(text), is(Optional.empty()));
  }

  @Property(seed = "20260105", tries = 10_000)
  void a_formatted_duration_is_parsed_to_the_same_duration(
      @ForAll @LongRange(max = 999_999_999) long millis) {
    Duration duration = Duration.ofMillis(millis);

    assertThat(DurationText.parse(DurationText.format(duration)), is(Optional.of(duration)));
  }

  @Property(seed = "20260106", tries = 10_000)
  void arbitrary_text_never_throws(@ForAll String text) {
    DurationText.parse(text).ifPresent(duration -> assertThat(duration.isNegative(), is(false)));
  }
}
