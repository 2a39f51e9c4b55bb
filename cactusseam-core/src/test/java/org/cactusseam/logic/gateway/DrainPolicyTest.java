package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.GenerationDemand;
import org.cactusseam.model.gateway.RepeatPolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that are accepted during shutdown and then cut off by the end of the
 * process.
 */
class DrainPolicyTest {

  private static final long DRAIN_MILLIS = 7_700;

  private static GatewayRoute route(RepeatPolicy repetition) {
    return new GatewayRoute(
        "route",
        "salon.example",
        "/a/",
        repetition,
        Duration.ofSeconds(2),
        Duration.ofMillis(400),
        Duration.ZERO,
        1,
        1,
        false,
        List.of(),
        Set.of());
  }

  /**
   * The stream that was accepted 7,163 ms after the signal was cut off after 0.6 s (fault run with
   * seed 559210551455).
   */
  @ParameterizedTest(
      name = "{0} ms after the signal, {1} tokens expected, {2} at most: accepted {3}")
  @CsvSource({
    "0, 400, 2204, true",
    "0, 1000, 2204, true",
    "2499, 300, 2204, true",
    "2500, 300, 2204, false",
    "2500, 8, 32, true",
    "7163, 300, 2204, false",
    "7163, 8, 32, false"
  })
  void a_stream_is_accepted_early_or_if_it_can_end_before_the_process(
      long sinceSignalMillis, int expected, int maximum, boolean accepted) {
    GenerationDemand demand = new GenerationDemand(3_000, maximum, OptionalInt.of(expected));

    assertThat(
        DrainPolicy.isServable(
            route(RepeatPolicy.STREAM_OF_ONE_RUN),
            Optional.of(demand),
            Duration.ofMillis(sinceSignalMillis),
            Duration.ofMillis(DRAIN_MILLIS - sinceSignalMillis)),
        is(accepted));
  }

  @ParameterizedTest(name = "{0} ms after the signal: accepted {1}")
  @CsvSource({"0, true", "5700, true", "5701, false"})
  void a_plain_request_is_accepted_if_its_timeout_ends_before_the_process(
      long sinceSignalMillis, boolean accepted) {
    assertThat(
        DrainPolicy.isServable(
            route(RepeatPolicy.AT_MOST_ONCE),
            Optional.empty(),
            Duration.ofMillis(sinceSignalMillis),
            Duration.ofMillis(DRAIN_MILLIS - sinceSignalMillis)),
        is(accepted));
  }
}
