package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards copies of runs against engines that have no room for them. */
class EngineReportsTest {

  private static final Instant START = Instant.EPOCH;

  private final EngineReports reports = new EngineReports();

  @Test
  void the_room_of_an_engine_is_what_its_runs_and_copies_leave() {
    reports.put("e-1", GatewayFixtures.report(20_000), START);

    assertThat(reports.freeTokens("e-1", START), is(OptionalInt.of(10_000)));
  }

  /** Guards against several copies at once that each fit alone. */
  @Test
  void copies_that_the_report_cannot_contain_yet_take_room() {
    reports.reserveForCopy("e-1", 3_000, START);
    reports.put("e-1", GatewayFixtures.report(20_000), START.plusMillis(400));
    reports.reserveForCopy("e-1", 2_000, START.plusMillis(450));

    assertThat(reports.freeTokens("e-1", START.plusMillis(500)), is(OptionalInt.of(5_000)));
  }

  @Test
  void a_copy_that_the_report_contains_is_counted_once() {
    reports.reserveForCopy("e-1", 3_000, START);
    reports.put("e-1", GatewayFixtures.report(23_000), START.plusMillis(501));

    assertThat(reports.freeTokens("e-1", START.plusMillis(501)), is(OptionalInt.of(7_000)));
  }

  @Test
  void an_old_report_says_nothing_of_the_room() {
    reports.put("e-1", GatewayFixtures.report(20_000), START);

    assertThat(
        reports.freeTokens("e-1", START.plus(EngineReports.USABLE).plusMillis(1)),
        is(OptionalInt.empty()));
  }
}
