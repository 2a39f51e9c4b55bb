package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against copying runs to engines that have no memory for them. */
class EngineReportsTest {

  private static final Instant START = Instant.EPOCH;

  private final EngineReports reports = new EngineReports();

  @Test
  void free_tokens_are_the_total_memory_minus_the_used_memory() {
    reports.put("e-1", GatewayFixtures.report(20_000), START);

    assertThat(reports.freeTokens("e-1", START), is(OptionalInt.of(10_000)));
  }

  /** Guards against several simultaneous copies that fit only individually. */
  @Test
  void copies_newer_than_the_report_reduce_the_free_tokens() {
    reports.reserveForCopy("e-1", 3_000, START);
    reports.put("e-1", GatewayFixtures.report(20_000), START.plusMillis(400));
    reports.reserveForCopy("e-1", 2_000, START.plusMillis(450));

    assertThat(reports.freeTokens("e-1", START.plusMillis(500)), is(OptionalInt.of(5_000)));
  }

  @Test
  void a_copy_included_in_the_report_is_counted_once() {
    reports.reserveForCopy("e-1", 3_000, START);
    reports.put("e-1", GatewayFixtures.report(23_000), START.plusMillis(501));

    assertThat(reports.freeTokens("e-1", START.plusMillis(501)), is(OptionalInt.of(7_000)));
  }

  @Test
  void an_outdated_report_yields_no_free_tokens() {
    reports.put("e-1", GatewayFixtures.report(20_000), START);

    assertThat(
        reports.freeTokens("e-1", START.plus(EngineReports.MAX_AGE).plusMillis(1)),
        is(OptionalInt.empty()));
  }
}
