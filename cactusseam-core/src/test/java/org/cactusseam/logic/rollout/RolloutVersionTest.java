package org.cactusseam.logic.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a test of versions that lets bad ones through, needs too many bad responses, or
 * attributes other faults to the version. Prints the table of docs/CAPACITY.md.
 */
class RolloutVersionTest {

  private static final int ROLLOUTS = 1_000;

  /** Bad responses after which the time to revert a version starts. */
  private static final int TOLERATED_BAD_RESPONSES = 50;

  @ParameterizedTest(name = "{0}, {1} requests a second")
  @CsvSource({
    "all responses fail,             20,  1.0, 0.0, 1, 0, false",
    "all responses fail,            100,  1.0, 0.0, 1, 0, false",
    "30 percent fail,                20,  0.3, 0.0, 1, 0, false",
    "30 percent fail,               100,  0.3, 0.0, 1, 0, false",
    "30 percent fail,               230,  0.3, 0.0, 1, 0, false",
    "15 percent fail,               100, 0.15, 0.0, 1, 0, false",
    "30 percent fail from second 4, 100,  0.3, 0.0, 1, 4, false",
    "60 percent fail on one route,  100,  0.6, 0.0, 1, 0, true",
    "all are 4 times slower,         20,  0.0, 1.0, 4, 0, false",
    "all are 4 times slower,        100,  0.0, 1.0, 4, 0, false",
    "all are 3 times slower,        100,  0.0, 1.0, 3, 0, false",
    "half are 4 times slower,       100,  0.0, 0.5, 4, 0, false",
    "all are 4 times slower on one route, 100, 0.0, 1.0, 4, 0, true"
  })
  void a_bad_version_is_not_found_good(
      String name,
      int perSecond,
      double failures,
      double slow,
      double factor,
      int from,
      boolean one) {
    VersionSimulation.Fault fault =
        new VersionSimulation.Fault(failures, slow, factor, from, one, false, false);
    Tally tally = new Tally(name, fault, perSecond);

    // Below one in 50, a bad version is less likely to pass than a server is to fail in a day.
    assertThat(tally.good, is(lessThanOrEqualTo(ROLLOUTS / 50)));
    assertThat(tally.badResponses(0.99), is(lessThanOrEqualTo(TOLERATED_BAD_RESPONSES)));
  }

  @ParameterizedTest(name = "{0}, {1} requests a second")
  @CsvSource({
    "no fault,              20, 0.0, 0.0, 1, false, false",
    "no fault,             100, 0.0, 0.0, 1, false, false",
    "no fault,             230, 0.0, 0.0, 1, false, false",
    "one server fails,     100, 0.5, 0.0, 1, true,  false",
    "a domain fails,       100, 0.5, 0.0, 1, false, true",
    "a domain is slow,     100, 0.0, 1.0, 4, false, true"
  })
  void a_good_version_is_not_found_bad(
      String name,
      int perSecond,
      double failures,
      double slow,
      double factor,
      boolean server,
      boolean both) {
    VersionSimulation.Fault fault =
        new VersionSimulation.Fault(failures, slow, factor, 0, false, server, both);
    Tally tally = new Tally(name, fault, perSecond);

    assertThat(tally.bad, is(lessThanOrEqualTo(ROLLOUTS / 50)));
    if (fault.failures() == 0 && fault.slow() == 0) {
      assertThat(tally.good, is(greaterThanOrEqualTo(ROLLOUTS * 9 / 10)));
    }
  }

  /** Guards against an order that completes because few responses follow the bad verdict. */
  @Test
  void a_bad_version_stays_bad() {
    EvidenceKey key = new EvidenceKey(EvidenceKey.Measure.RESPONSE, "r", true, "a", "s-1");
    VersionTest test = new VersionTest();
    test.add(Map.of(key, new ResponseCounts(0, 9, List.of())), Instant.EPOCH);
    assertThat(test.verdict(1).kind(), is(VersionTest.Kind.BAD));
    test.add(Map.of(key, new ResponseCounts(500, 0, List.of())), Instant.EPOCH);
    assertThat(test.verdict(1).kind(), is(VersionTest.Kind.BAD));
    assertThat(test.verdict(2).kind(), is(VersionTest.Kind.BAD));
  }

  /**
   * Guards against a version that turns bad after the canary stage and is found too late. In
   * draining, the old version may have no responses any more.
   */
  @ParameterizedTest(name = "{0}, {3} ms, failures {4}")
  @CsvSource({
    "shifting, 10,  90, 240, 0",
    "shifting, 10,  90, 60,  0.5",
    "draining, 100, 0,  240, 0",
    "draining, 100, 0,  60,  0.5"
  })
  void a_version_that_turns_bad_later_is_found(
      String stage, int newPerSecond, int oldPerSecond, int millis, double failures) {
    VersionTest test = new VersionTest();
    int time = 0;
    for (; time < 9_000; time += 200) {
      add(test, time, 90, 10, 60, 0);
    }
    assertThat(test.verdict(3).kind(), is(VersionTest.Kind.GOOD));
    int start = time;
    while (test.verdict(3).kind() != VersionTest.Kind.BAD && time < start + 4_000) {
      add(test, time, oldPerSecond, newPerSecond, millis, failures);
      time += 200;
    }
    assertThat(test.verdict(3).kind(), is(VersionTest.Kind.BAD));
    // The rest of the 5 s to revert is for the message to all VMs and the write to the store.
    assertThat(time - start, is(lessThanOrEqualTo(2_000)));
  }

  /**
   * Adds the responses of 200 ms. The old version responds in 60 ms.
   *
   * @param millis response time of the new version
   * @param failures part of the new version's responses that fail, either 0 or 0.5
   */
  private static void add(
      VersionTest test, int time, int oldPerSecond, int newPerSecond, int millis, double failures) {
    RolloutEvidence evidence = new RolloutEvidence();
    EvidenceKey old = new EvidenceKey(EvidenceKey.Measure.RESPONSE, "r", false, "a", "");
    for (int response = 0; response < oldPerSecond / 5; response++) {
      evidence.recordSuccess(old);
      evidence.recordTime(old, Duration.ofMillis(60));
    }
    for (int response = 0; response < newPerSecond / 5; response++) {
      int turn = response + time / 200;
      EvidenceKey key =
          new EvidenceKey(EvidenceKey.Measure.RESPONSE, "r", true, "a", "s-" + turn % 3);
      if (failures > 0 && turn % 2 == 0) {
        evidence.recordFailure(key);
      } else {
        evidence.recordSuccess(key);
        evidence.recordTime(key, Duration.ofMillis(millis));
      }
    }
    test.add(evidence.counts(), Instant.EPOCH.plusMillis(time));
  }

  /** Results of many roll-outs with different seeds. */
  private static final class Tally {
    private int good;
    private int bad;
    private final int[] badResponses = new int[ROLLOUTS];

    Tally(String name, VersionSimulation.Fault fault, int perSecond) {
      long sent = 0;
      for (int seed = 0; seed < ROLLOUTS; seed++) {
        VersionSimulation.Result result = new VersionSimulation(seed, fault, perSecond).run();
        good += result.kind() == VersionTest.Kind.GOOD ? 1 : 0;
        bad += result.kind() == VersionTest.Kind.BAD ? 1 : 0;
        badResponses[seed] = result.badResponses();
        sent += result.sent();
      }
      Arrays.sort(badResponses);
      System.out.printf(
          "| %s | %d | %.1f | %.1f | %.1f | %d | %d |%n",
          name,
          perSecond,
          100.0 * good / ROLLOUTS,
          100.0 * bad / ROLLOUTS,
          (double) sent / ROLLOUTS,
          badResponses(0.5),
          badResponses(0.99));
    }

    int badResponses(double quantile) {
      return badResponses[(int) (quantile * (ROLLOUTS - 1))];
    }
  }
}
