package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.cactusseam.logic.gateway.OverloadReplay.Load;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against early refusals that leave capacity unused, that come when capacity suffices, or
 * that send callers back all at once.
 */
class OverloadReplayTest {

  /** Largest share of callers that may be lost by refusing early. */
  private static final double TOLERANCE = 0.01;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void no_request_is_refused_at_the_usual_load(long seed) {
    assertThat(new OverloadReplay(Load.USUAL, true, seed).run().refused(), is(0));
  }

  @ParameterizedTest
  @CsvSource({
    "FLOOD, 1",
    "FLOOD, 2",
    "FLOOD, 3",
    "FLOOD, 4",
    "WAVES, 1",
    "WAVES, 2",
    "WAVES, 3",
    "WAVES, 4",
    "DOMAIN, 1",
    "DOMAIN, 2",
    "DOMAIN, 3",
    "DOMAIN, 4"
  })
  void early_refusals_come_sooner_and_lose_no_caller(Load load, long seed) {
    OverloadReplay.Result late = new OverloadReplay(load, false, seed).run();
    OverloadReplay.Result early = new OverloadReplay(load, true, seed).run();

    assertThat(early.startedShare(), greaterThanOrEqualTo(late.startedShare() - TOLERANCE));
    assertThat(
        early.othersStartedShare(), greaterThanOrEqualTo(late.othersStartedShare() - TOLERANCE));
    assertThat(early.meanRefusalMillis(), lessThan(late.meanRefusalMillis()));
  }
}
