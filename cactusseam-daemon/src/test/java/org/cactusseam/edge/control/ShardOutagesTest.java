package org.cactusseam.edge.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against refusals while the owner of a shard changes, and against requests that wait for an
 * owner that does not come.
 */
class ShardOutagesTest {

  private static final ShardId SHARD = new ShardId(new PoolName("p"), new RegionName("r"), 0);

  /**
   * Steps are requests without an owner (n) and answers of owners (a), each followed by its time in
   * milliseconds.
   */
  @ParameterizedTest(name = "{0}, then at {1} ms: {2}")
  @CsvSource({
    "n0, 6999, true",
    "n0, 7000, false",
    "n0 n3000 n6000 n9000, 9000, false",
    "n0 n3000 a4000 n9000, 9000, true",
    "n0 n7000, 7000, true",
    "n0 n6999 n13998, 13998, false",
    "a0, 20000, true"
  })
  void a_takeover_is_expected_until_it_would_be_over(String steps, long millis, boolean expected) {
    ShardOutages outages = new ShardOutages(Duration.ofSeconds(7));
    for (String step : steps.split(" ")) {
      Instant at = Instant.ofEpochMilli(Long.parseLong(step.substring(1)));
      if (step.startsWith("n")) {
        outages.recordOutage(SHARD, at);
      } else {
        outages.clear(SHARD);
      }
    }

    assertThat(outages.isTakeoverExpected(SHARD, Instant.ofEpochMilli(millis)), is(expected));
  }
}
