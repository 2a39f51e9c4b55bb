package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that are accepted during shutdown and then cut off by the end of the
 * process.
 */
class DrainPolicyTest {

  private static final long DRAIN_MILLIS = 7_700;

  private static boolean isSendingAllowed(
      boolean isStream, long sinceSignalMillis, long untilDeadlineMillis) {
    return DrainPolicy.isSendingAllowed(
        isStream,
        Duration.ofMillis(untilDeadlineMillis),
        Duration.ofMillis(sinceSignalMillis),
        Duration.ofMillis(DRAIN_MILLIS - sinceSignalMillis));
  }

  /**
   * The stream that was accepted 7,163 ms after the signal was cut off after 0.6 s (fault run with
   * seed 559210551455). Short streams that were accepted after 5,950 ms were cut off because their
   * engine read other prompts first.
   */
  @ParameterizedTest(name = "{0} ms after the signal, {1} ms left: accepted {2}")
  @CsvSource({
    "0, 39000, true",
    "2499, 39000, true",
    "2500, 39000, false",
    "7163, 39000, false",
    "2499, 6000, true",
    "2500, 6000, false",
    "2500, 5200, true",
    "2500, 5201, false",
    "5950, 6000, false",
    "5950, 1751, false",
    "5950, 1750, true",
    "7163, 6000, false"
  })
  void a_stream_is_sent_early_or_if_its_time_limit_ends_before_the_process(
      long sinceSignalMillis, long untilDeadlineMillis, boolean accepted) {
    assertThat(isSendingAllowed(true, sinceSignalMillis, untilDeadlineMillis), is(accepted));
  }

  @ParameterizedTest(name = "{0} ms after the signal, {1} ms left: accepted {2}")
  @CsvSource({
    "0, 2000, true",
    "0, 7701, false",
    "5700, 2000, true",
    "5701, 2000, false",
    "7700, 1, false"
  })
  void a_plain_request_is_sent_if_its_time_limit_ends_before_the_process(
      long sinceSignalMillis, long untilDeadlineMillis, boolean accepted) {
    assertThat(isSendingAllowed(false, sinceSignalMillis, untilDeadlineMillis), is(accepted));
  }

  @ParameterizedTest(name = "{0} ms until the exit, {1} ms left: waits {2}")
  @CsvSource({"7700, 7700, true", "7700, 7701, false", "1, 0, true", "-1, 1, false"})
  void a_request_waits_if_its_time_limit_ends_before_the_process(
      long untilExitMillis, long untilDeadlineMillis, boolean waits) {
    assertThat(
        DrainPolicy.isWaitingAllowed(
            Duration.ofMillis(untilDeadlineMillis), Duration.ofMillis(untilExitMillis)),
        is(waits));
  }
}
