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

/** Guards streams that are broken off although their engine still runs them. */
class StreamStallDetectorTest {

  private static final Instant START = Instant.EPOCH;

  private final StreamStallDetector silence = new StreamStallDetector(route(), START);

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

  @ParameterizedTest(name = "{0} ms of silence, elsewhere {1}: ended {2}")
  @CsvSource({
    "1200, true, false",
    "1201, true, true",
    "1201, false, false",
    "7200, false, false",
    "7201, false, true"
  })
  void a_stream_that_cannot_go_on_elsewhere_is_kept_as_long_as_its_caller_waits(
      long silentMillis, boolean canContinue, boolean ended) {
    assertThat(silence.isTimedOut(canContinue, START.plusMillis(silentMillis)), is(ended));
  }

  /** Guards against the end of a run whose engine refuses new connections while it leaves. */
  @Test
  void a_stream_that_brings_events_is_never_ended() {
    silence.recordActivity(START.plusSeconds(10));

    assertThat(silence.isTimedOut(true, START.plusSeconds(11)), is(false));
  }

  @Test
  void an_engine_is_asked_once_in_a_while() {
    assertThat(silence.tryStartProbe(START.plusMillis(1_200)), is(false));
    assertThat(silence.tryStartProbe(START.plusMillis(1_201)), is(true));
    assertThat(silence.tryStartProbe(START.plusMillis(2_400)), is(false));
    assertThat(silence.tryStartProbe(START.plusMillis(2_401)), is(true));
  }
}
