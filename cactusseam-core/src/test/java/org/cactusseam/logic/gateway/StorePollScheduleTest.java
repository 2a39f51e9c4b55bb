package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against calls to the store that grow with the gateways, and against stale views. */
class StorePollScheduleTest {

  /** The first read of a lapsed entry must come before it is dropped. */
  private static final long LAPSE_GRACE_MILLIS = ServerTable.LAPSE_GRACE.toMillis();

  private static StorePollSchedule pace(long boundMillis, int gateways) {
    StorePollSchedule pace = new StorePollSchedule(Duration.ofMillis(boundMillis));
    pace.setGatewayCount(gateways);
    return pace;
  }

  @ParameterizedTest(name = "bound {0} ms, {1} gateways: pause {2} ms, wait {3} ms")
  @CsvSource({
    "2500, 1, 400, 1500",
    "2500, 8, 800, 1500",
    "2500, 65, 1200, 1500",
    "4000, 8, 800, 1500",
    "4000, 20, 2000, 2000",
    "4000, 65, 2700, 2700",
    "1000, 65, 1200, 1500"
  })
  void reads_are_shared_between_the_gateways(
      long boundMillis, int gateways, long pauseMillis, long waitMillis) {
    StorePollSchedule pace = pace(boundMillis, gateways);

    assertThat(pace.serverPollInterval(Instant.EPOCH).toMillis(), is(pauseMillis));
    assertThat(pace.configurationPollTimeout().toMillis(), is(waitMillis));
  }

  /** A gateway that hears of nothing from the others must know a change by itself. */
  @ParameterizedTest
  @ValueSource(ints = {1, 9, 65, 300})
  void a_gateway_alone_knows_a_change_within_the_bound(int gateways) {
    StorePollSchedule pace = pace(4_000, gateways);

    assertThat(pace.serverPollInterval(Instant.EPOCH).toMillis(), lessThan(4_000L));
    assertThat(pace.configurationPollTimeout().toMillis(), lessThan(4_000L));
  }

  /** Otherwise the entries of live servers are dropped before they have been read again. */
  @Test
  void reads_are_frequent_while_lapsed_entries_come_back() {
    StorePollSchedule pace = pace(4_000, 65);
    pace.storeReturned(Instant.EPOCH);

    long pauseMillis = pace.serverPollInterval(Instant.ofEpochMilli(1)).toMillis();
    assertThat(pauseMillis, lessThanOrEqualTo(LAPSE_GRACE_MILLIS / 2 + 100));
    assertThat(pace.serverPollInterval(Instant.ofEpochMilli(4_000)).toMillis(), is(2_700L));
  }
}
