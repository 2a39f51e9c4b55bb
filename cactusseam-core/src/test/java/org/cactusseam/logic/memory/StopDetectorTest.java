package org.cactusseam.logic.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against connections that are closed because their own process was stopped. */
class StopDetectorTest {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  @ParameterizedTest
  @CsvSource({"50, 0", "250, 0", "251, 251", "20000, 20000"})
  void a_long_gap_between_checks_is_a_stop(long gapMillis, long expectedMillis) {
    StopDetector detector = new StopDetector(Instant.EPOCH);
    Instant now = Instant.EPOCH.plusMillis(gapMillis);

    assertThat(detector.check(now), is(Duration.ofMillis(expectedMillis)));
    assertThat(detector.check(now.plus(CHECK_INTERVAL)), is(Duration.ZERO));
  }

  /** A stop of less than 3 s is not detected by the progress of a transfer itself. */
  @ParameterizedTest
  @ValueSource(longs = {300, 2_500, 2_900, 30_000})
  void a_stop_does_not_count_as_time_without_progress(long stopMillis) {
    StopDetector detector = new StopDetector(Instant.EPOCH);
    ByteProgress progress = new ByteProgress(0, Instant.EPOCH);
    Instant now = Instant.EPOCH.plusMillis(stopMillis);
    progress.skipTime(detector.check(now), now);

    assertThat(progress.timeWithoutProgress(0, now), is(Duration.ZERO));
  }

  /** Guards against a detection that gives a client without progress endless time. */
  @Test
  void time_between_regular_checks_counts_in_full() {
    StopDetector detector = new StopDetector(Instant.EPOCH);
    ByteProgress progress = new ByteProgress(0, Instant.EPOCH);
    Instant now = Instant.EPOCH;
    Duration skipped = Duration.ZERO;
    for (int check = 0; check < 100; check++) {
      now = now.plus(CHECK_INTERVAL);
      Duration stopped = detector.check(now);
      skipped = skipped.plus(stopped);
      progress.timeWithoutProgress(0, now);
    }

    assertThat(skipped, is(Duration.ZERO));
    assertThat(progress.timeWithoutProgress(0, now), is(Duration.ofSeconds(5)));
  }
}
