package org.cactusseam.logic.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against callers that return together, too late for their time limit, or too early. */
class ReturnScheduleTest {

  private static final Instant NOW = Instant.EPOCH.plusSeconds(5);
  private static final Duration LONG_LIMIT = Duration.ofSeconds(60);

  private final ReturnSchedule schedule = new ReturnSchedule(Instant.EPOCH, 0.3);

  @Test
  void callers_rejected_at_the_same_moment_return_at_different_moments() {
    int[] returns = new int[26];
    for (int caller = 0; caller < 85; caller++) {
      returns[(int) schedule.assign(0, LONG_LIMIT, NOW).delay().toMillis() / 100]++;
    }

    assertThat(IntStream.of(returns).max().orElseThrow(), is(lessThanOrEqualTo(6)));
  }

  @ParameterizedTest
  @CsvSource({"-5, 0", "0, 0", "300, 100", "2400, 800"})
  void no_return_is_later_than_a_third_of_the_remaining_time(long remaining, long longest) {
    for (int caller = 0; caller < 20; caller++) {
      Duration delay = schedule.assign(9, Duration.ofMillis(remaining), NOW).delay();
      assertThat(delay, is(Duration.ofMillis(longest)));
    }
  }

  /** With 10 starts a second, each waiting request takes 100 ms. */
  @ParameterizedTest
  @CsvSource({"0, 800", "10, 1100", "1000, 2500"})
  void returns_are_spread_over_the_time_in_which_requests_start(int waiting, long longest) {
    for (int start = 0; start < 50; start++) {
      schedule.recordStart(NOW);
    }

    Duration delay = schedule.assign(waiting, LONG_LIMIT, NOW).delay();

    long fraction = (long) ((longest - 800) * (0.3 + 0.618_033_988_749_894_9));
    assertThat(delay, is(Duration.ofMillis(800 + fraction)));
  }
}
