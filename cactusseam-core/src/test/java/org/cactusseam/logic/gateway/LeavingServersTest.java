package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests to servers that leave, and against servers that are never used again. */
class LeavingServersTest {

  private static final Instant START = Instant.EPOCH;

  private final LeavingServers departures = new LeavingServers();

  /**
   * Guards against an entry that is older than the report of the departure: it lags, and other VMs
   * pass it on.
   */
  @ParameterizedTest(name = "{0}, entry {1} ms later: leaving {2}")
  @CsvSource({
    "REPORTED, 1000, true",
    "REPORTED, 3000, true",
    "REPORTED, 3001, false",
    "ENTRY_GONE, 1, false",
    "ANNOUNCED, 1, false"
  })
  void an_entry_that_is_ready_ends_a_departure_unless_it_may_be_older(
      LeavingServers.Source sign, long laterMillis, boolean leaving) {
    departures.markLeaving("s-1", sign, START);

    departures.clearIfOlder("s-1", START.plusMillis(laterMillis));

    assertThat(departures.isLeaving("s-1"), is(leaving));
  }

  @Test
  void a_new_process_under_the_identity_does_not_leave() {
    departures.markLeaving("s-1", LeavingServers.Source.REPORTED, START);

    departures.clear("s-1");

    assertThat(departures.isLeaving("s-1"), is(false));
  }
}
