package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.RepeatPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against breaking streams that their engine still runs. */
class StreamStallDetectorTest {

  private static final Instant START = Instant.EPOCH;

  private final StreamStallDetector detector = new StreamStallDetector(route(), START);

  private static GatewayRoute route() {
    return new GatewayRoute(
        "letters",
        "salon.example",
        "/letters/",
        RepeatPolicy.STREAM_OF_ONE_RUN,
        Duration.ofSeconds(39),
        Duration.ofMillis(1_800),
        Duration.ofMillis(180),
        1,
        1,
        false,
        List.of(),
        Set.of());
  }

  @ParameterizedTest(name = "{0} ms of silence, can continue elsewhere {1}: ended {2}")
  @CsvSource({
    "1200, true, false",
    "1201, true, true",
    "1201, false, false",
    "7200, false, false",
    "7201, false, true"
  })
  void a_silent_stream_times_out_early_only_if_it_can_continue_elsewhere(
      long idleMillis, boolean canContinue, boolean ended) {
    assertThat(detector.isTimedOut(canContinue, START.plusMillis(idleMillis)), is(ended));
  }

  /**
   * Guards against ending a run whose leaving engine refuses new connections but still sends
   * events.
   */
  @Test
  void an_active_stream_does_not_time_out() {
    detector.recordActivity(START.plusSeconds(10));

    assertThat(detector.isTimedOut(true, START.plusSeconds(11)), is(false));
  }

  @Test
  void an_engine_is_probed_at_most_once_per_probe_interval() {
    assertThat(detector.tryStartProbe(START.plusMillis(1_200)), is(false));
    assertThat(detector.tryStartProbe(START.plusMillis(1_201)), is(true));
    assertThat(detector.tryStartProbe(START.plusMillis(2_400)), is(false));
    assertThat(detector.tryStartProbe(START.plusMillis(2_401)), is(true));
  }
}
