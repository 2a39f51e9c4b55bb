package org.cactusseam.logic.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a client that keeps its memory with a byte now and then. */
class ByteProgressTest {

  @ParameterizedTest
  @CsvSource({"1, 20", "1638, 20", "1639, 0", "16384, 0"})
  void only_enough_bytes_within_the_time_are_progress(int bytesPerSecond, long expectedSeconds) {
    Instant now = Instant.EPOCH;
    ByteProgress progress = new ByteProgress(0, now);
    long bytes = 0;
    Duration without = Duration.ZERO;
    for (int second = 0; second < 10; second++) {
      now = now.plusSeconds(1);
      bytes += bytesPerSecond;
      without = progress.timeWithoutProgress(bytes, now);
    }

    assertThat(without.compareTo(Duration.ofSeconds(5)) > 0, is(expectedSeconds > 0));
  }

  /** Guards against a stop below the longest interval that counts as time of the client. */
  @Test
  void a_short_stop_does_not_count_if_it_is_reported() {
    ByteProgress progress = new ByteProgress(0, Instant.EPOCH);
    Instant now = Instant.ofEpochSecond(3);
    progress.skipTime(Duration.ofSeconds(2), now);

    assertThat(progress.timeWithoutProgress(0, now), is(Duration.ofSeconds(1)));
  }

  /** A process that was stopped has not read what its clients sent meanwhile. */
  @Test
  void time_in_which_the_process_was_stopped_does_not_count() {
    ByteProgress progress = new ByteProgress(0, Instant.EPOCH);

    assertThat(progress.timeWithoutProgress(0, Instant.ofEpochSecond(30)), is(Duration.ZERO));
    assertThat(
        progress.timeWithoutProgress(0, Instant.ofEpochSecond(31)), is(Duration.ofSeconds(1)));
  }
}
