package org.cactusseam.logic.hedging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.cactusseam.logic.hedging.HedgingSimulation.Outcome;
import org.cactusseam.logic.hedging.HedgingSimulation.Pace;
import org.cactusseam.logic.hedging.HedgingSimulation.Scenario;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against second attempts that help nobody, and against more of them than allowed. */
class HedgingPolicyTest {

  private static final int SECONDS = 40;
  private static final int SLOW_FROM_SECOND = 20;

  /** Time within which all VMs have to see that every server is slow. */
  private static final int SECONDS_UNTIL_SEEN = 3;

  private static final double DEFAULT_SHARE = 0.03;
  private static final int SERVERS = 45;
  private static final int SLOTS = 24;
  private static final double RATE = 230;

  /** Share of responses that are slow at any server. */
  private static final double TAIL = 0.002;

  /** How the servers are slow. */
  enum Slowness {
    ONE_SERVER((server, now) -> server == 0 ? 8 : 1),
    ALL_SERVERS((server, now) -> 8),
    ALL_SERVERS_LATER((server, now) -> now.getEpochSecond() >= SLOW_FROM_SECOND ? 8 : 1),
    /** A seventh of the servers at 2.5 times the usual time, redrawn every 0.6 s. */
    WAVES(
        (server, now) ->
            Math.floorMod((server * 31 + now.toEpochMilli() / 600) * 0x9E3779B1L >>> 7, 7) == 0
                ? 2.5
                : 1);

    private final Pace pace;

    Slowness(Pace pace) {
      this.pace = pace;
    }
  }

  private static Scenario scenario(long seed, int vms, double share, Slowness slowness) {
    return new Scenario(seed, vms, SERVERS, SLOTS, RATE, SECONDS, share, slowness.pace, TAIL);
  }

  private static Outcome run(Scenario scenario) {
    return HedgingSimulation.run(scenario);
  }

  /** Guards against second attempts that do not reduce the tail for which they are sent. */
  @ParameterizedTest(name = "{0} VMs, seed {1}")
  @CsvSource({"1, 1", "1, 2", "6, 1", "6, 2", "24, 1"})
  void a_slow_server_affects_the_99th_percentile_less_with_hedging(int vms, long seed) {
    Scenario scenario = scenario(seed, vms, DEFAULT_SHARE, Slowness.ONE_SERVER);

    Outcome with = run(scenario);
    Outcome without = run(scenario.withoutHedging());

    assertThat(with.p99(), is(lessThan(without.p99())));
    assertThat(with.p50(), is(lessThanOrEqualTo(without.p50() + 1)));
    assertThat(with.extraShare(), is(greaterThan(0.0)));
  }

  /** Guards against more extra requests than the operator allows, in any window over all VMs. */
  @ParameterizedTest(name = "{0}, {1} VMs, share {2}")
  @CsvSource({
    "ONE_SERVER, 1, 0.03",
    "ONE_SERVER, 24, 0.1",
    "WAVES, 6, 0.03",
    "WAVES, 126, 0.03",
    "ALL_SERVERS_LATER, 6, 0.1",
    "ALL_SERVERS_LATER, 24, 0.01"
  })
  void extra_requests_stay_within_the_share(Slowness slowness, int vms, double share) {
    Outcome outcome = run(scenario(1, vms, share, slowness));

    assertThat(outcome.worstShare(), is(lessThanOrEqualTo(share)));
  }

  /** Guards against extra requests that make an overload worse. */
  @ParameterizedTest(name = "{0} VMs")
  @ValueSource(ints = {1, 6})
  void an_overloaded_service_gets_no_extra_requests_beyond_the_share(int vms) {
    Scenario overload =
        new Scenario(1, vms, 9, 2, 2 * RATE, SECONDS, DEFAULT_SHARE, Slowness.WAVES.pace, TAIL);

    Outcome outcome = run(overload);

    assertThat(outcome.worstShare(), is(lessThanOrEqualTo(DEFAULT_SHARE)));
    // After the last arrival the queue empties, and then the service is not overloaded.
    assertThat(outcome.extrasBetween(0, SECONDS), is(0));
  }

  /** Guards against extra requests that no server can answer faster than the first one. */
  @ParameterizedTest(name = "{0} VMs, share {1}")
  @CsvSource({"1, 0.03", "6, 0.03", "24, 0.03", "6, 0.1"})
  void nothing_is_hedged_when_all_servers_are_slow(int vms, double share) {
    Outcome fromStart = run(scenario(1, vms, share, Slowness.ALL_SERVERS));
    Outcome later = run(scenario(1, vms, share, Slowness.ALL_SERVERS_LATER));

    assertThat(fromStart.extraShare(), is(0.0));
    assertThat(
        later.extrasBetween(SLOW_FROM_SECOND + SECONDS_UNTIL_SEEN, Integer.MAX_VALUE), is(0));
  }
}
