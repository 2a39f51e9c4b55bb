package org.cactusseam.logic.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against figures of a replay that loses callers, or counts them twice. */
class ReturnReplayTest {

  @ParameterizedTest
  @CsvSource({
    "USUAL, CONSTANT_800_MILLIS, false",
    "FLOOD_OF_ONE_ACCOUNT, CONSTANT_800_MILLIS, true",
    "SLOW_IN_WAVES, SCHEDULED, true",
    "TWICE_IN_ONE_DOMAIN, CONSTANT_1650_MILLIS, true",
    "DOMAIN_LEAVES, SCHEDULED, true"
  })
  void every_caller_is_served_once_or_rejected_twice(
      ReturnReplay.Load load, ReturnReplay.Returns policy, boolean isOverload) {
    ReturnReplay.Result result = new ReturnReplay(load, 6, policy, 1, 4_000).run();

    assertThat(result.served() + result.rejectedTwice(), is(result.callers()));
    assertThat(
        result.servedAfterReturn() + result.rejectedTwice(),
        is(result.rejections() - result.rejectedTwice()));
    assertThat(result.rejections() > 0, is(isOverload));
  }
}
