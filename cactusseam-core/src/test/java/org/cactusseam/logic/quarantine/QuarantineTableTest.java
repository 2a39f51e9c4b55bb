package org.cactusseam.logic.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.quarantine.Conviction;
import org.cactusseam.model.quarantine.CrashId;
import org.cactusseam.model.quarantine.CrashReport;
import org.cactusseam.model.quarantine.Suspicions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a single request that crashes many servers, and against quarantining requests that
 * merely ran beside it.
 */
class QuarantineTableTest {

  private static final int SEEDS = 1_000;
  private static final int RESENDS = 20;

  /**
   * Each row gives the number of shards, the number of copies that run at the same time, whether
   * failures are held back until the owners know of the crash, whether the last owner is
   * partitioned from the others for good, and the highest numbers of crashes in one shard and in
   * total. The numbers are exact, so a row also fails when fewer servers crash.
   */
  @ParameterizedTest(
      name = "{0} shards, {1} copies, held back {2}, partitioned {3}: {4} in a shard, {5} in total")
  @CsvSource({
    "1, 1, true, false, 2, 2",
    "2, 1, true, false, 2, 2",
    "4, 1, true, false, 2, 2",
    "3, 1, true, true, 2, 4",
    "4, 2, true, false, 4, 4",
    "4, 3, true, false, 5, 6",
    "2, 1, false, false, 2, 4",
    "4, 1, false, false, 2, 8"
  })
  void a_request_that_crashes_every_server_crashes_few_servers(
      int shards,
      int copies,
      boolean failuresHeld,
      boolean partitioned,
      int inOneShard,
      int inTotal) {
    int most = 0;
    int total = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      CrashingRequestSimulation fleet = simulate(seed, shards, copies, failuresHeld, partitioned);
      String trace = "seed " + seed + " " + fleet.trace;
      assertThat(trace, fleet.isQuarantinedEverywhere() || partitioned, is(true));
      assertThat(trace, fleet.isOtherQuarantined(), is(false));
      assertThat(trace, fleet.mostCrashesInOneShard(), is(lessThanOrEqualTo(inOneShard)));
      assertThat(trace, fleet.crashes(), is(lessThanOrEqualTo(inTotal)));
      most = Math.max(most, fleet.mostCrashesInOneShard());
      total = Math.max(total, fleet.crashes());
    }
    assertThat(List.of(most, total), is(List.of(inOneShard, inTotal)));
  }

  private static CrashingRequestSimulation simulate(
      int seed, int shards, int copies, boolean failuresHeld, boolean partitioned) {
    int last = shards - 1;
    CrashingRequestSimulation fleet =
        new CrashingRequestSimulation(
            shards,
            ~seed * 0x9E3779B97F4A7C15L,
            (from, to) -> !partitioned || (from == last) == (to == last));
    // Small seeds give similar first values in java.util.Random, so they are multiplied by a large
    // odd constant.
    Random random = new Random(seed * 0x9E3779B97F4A7C15L);
    boolean newCompanions = random.nextBoolean();
    for (int resend = 0; resend < RESENDS; resend++) {
      List<Integer> targets = new ArrayList<>();
      for (int copy = 0; copy < copies; copy++) {
        targets.add(random.nextInt(shards));
      }
      fleet.runRound(targets, newCompanions, failuresHeld);
    }
    fleet.exchange(1.0);
    return fleet;
  }

  @Test
  void a_quarantined_request_is_released_after_ten_minutes() {
    CrashingRequestSimulation fleet = simulate(1, 2, 1, true, false);
    assertThat(fleet.placement(0), is(QuarantineDecision.QUARANTINED));

    fleet.clock.advance(QuarantineTable.RETENTION.minusMinutes(1));
    assertThat(fleet.placement(0), is(QuarantineDecision.QUARANTINED));
    fleet.clock.advance(Duration.ofMinutes(2));
    fleet.exchange(1.0);

    assertThat(fleet.placement(0), is(QuarantineDecision.ALLOWED));
  }

  /**
   * {@code s1:a,b} is a crash of server s1 while a and b ran, {@code +a} is a normal end of a, and
   * x is the request to place beside y.
   */
  @ParameterizedTest(name = "{0}: x beside y is {1}")
  @CsvSource(
      delimiter = ';',
      value = {
        "s1:a,b; ALLOWED",
        "s1:x,a; ALLOWED",
        "s1:x,y; ISOLATION_REQUIRED",
        "s1:x,y +x; ALLOWED",
        "s1:x,y +y; ALLOWED",
        "s1:x,y s2:x,y; ISOLATION_REQUIRED",
        "s1:x,y s2:x,z; QUARANTINED",
        "s1:x s1:x; ALLOWED",
        "s1:x,y s1:x; ISOLATION_REQUIRED",
        "s1:x,y s2:y,z; ALLOWED",
        "s1:x,y +y s2:x,y; QUARANTINED",
        "s1:x,y s2:x,y +y; QUARANTINED",
        "s1:x +x s2:x; ALLOWED"
      })
  void reports_and_normal_ends_decide_where_a_request_may_run(
      String events, QuarantineDecision expected) {
    PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
    QuarantineTable table = new QuarantineTable(new NodeName("vm0"), clock);
    for (String event : events.split(" ")) {
      if (event.startsWith("+")) {
        table.recordCompletion(event.substring(1));
      } else {
        List<String> running = Arrays.asList(event.split(":")[1].split(","));
        table.recordCrash(new BackendServerName(event.split(":")[0]), "run", running);
      }
    }

    assertThat(table.decide("x", List.of("y")), is(expected));
  }

  @Test
  void a_quarantine_lasts_ten_minutes_from_the_last_crash() {
    PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
    QuarantineTable table = new QuarantineTable(new NodeName("vm0"), clock);
    table.recordCrash(new BackendServerName("s1"), "run", List.of("x", "y"));
    clock.advance(Duration.ofMinutes(8));
    table.recordCrash(new BackendServerName("s2"), "run", List.of("x"));

    clock.advance(Duration.ofMinutes(9));
    table.tick();
    assertThat(table.isQuarantined("x"), is(true));
    clock.advance(Duration.ofMinutes(1));
    table.tick();

    assertThat(table.isQuarantined("x"), is(false));
  }

  @Test
  void two_reports_of_one_crash_quarantine_no_request() {
    PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
    QuarantineTable first = new QuarantineTable(new NodeName("vm0"), clock);
    QuarantineTable second = new QuarantineTable(new NodeName("vm1"), clock);
    first.recordCrash(new BackendServerName("s1"), "run", List.of("x"));
    second.recordCrash(new BackendServerName("s1"), "run", List.of("x"));

    first.mergePeerState(new NodeName("vm1"), second.suspicions());

    assertThat(first.isQuarantined("x"), is(false));
    assertThat(first.isSuspect("x"), is(true));
  }

  @Test
  void an_incomplete_report_quarantines_no_request() {
    PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
    QuarantineTable table = new QuarantineTable(new NodeName("vm0"), clock);
    List<String> many = new ArrayList<>(List.of("a"));
    IntStream.range(0, CrashReport.MAXIMUM_FINGERPRINTS).forEach(i -> many.add("many" + i));
    table.recordCrash(new BackendServerName("s1"), "run", many);
    table.recordCrash(new BackendServerName("s2"), "run", List.of("a", "crasher"));

    assertThat(table.isQuarantined("a"), is(false));
    assertThat(table.isSuspect("a"), is(true));
  }

  @Test
  void a_failure_is_held_back_until_the_owners_know_or_the_limit_passes() {
    PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
    NodeName first = new NodeName("vm0");
    NodeName second = new NodeName("vm1");
    QuarantineTable table = new QuarantineTable(first, clock);
    CrashId crash = table.recordCrash(new BackendServerName("s1"), "run", List.of("x"));
    assertThat(table.isKnownToOwners(crash, List.of(first)), is(true));
    assertThat(table.isKnownToOwners(crash, List.of(first, second)), is(false));

    QuarantineTable other = new QuarantineTable(second, clock);
    assertThat(table.checkPeerDigest(second, other.digest()), is(true));
    other.mergePeerState(first, table.suspicions());
    assertThat(table.isKnownToOwners(crash, List.of(first, second)), is(false));
    assertThat(table.checkPeerDigest(second, other.digest()), is(false));
    assertThat(table.isKnownToOwners(crash, List.of(first, second)), is(true));

    CrashId next = table.recordCrash(new BackendServerName("s2"), "run", List.of("y"));
    assertThat(table.isKnownToOwners(next, List.of(second)), is(false));
    clock.advance(QuarantineTable.FAILURE_HOLD_LIMIT);
    assertThat(table.isKnownToOwners(next, List.of(second)), is(true));
  }

  // Guards against a rename in these records: peers compare the hash of their text.
  @Test
  void the_digest_of_a_fixed_value_is_the_same_in_every_version() {
    PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
    long now = clock.millis();
    CrashId id = new CrashId(new BackendServerName("s1"), "run", new NodeName("vm1"), now - 1_000);
    CrashReport report = new CrashReport(id, Set.of("x"), Set.of("x"), true);
    Conviction conviction = new Conviction("y", now + 1_000);
    Suspicions sample = new Suspicions(List.of(report), List.of(conviction));
    QuarantineTable table = new QuarantineTable(new NodeName("vm0"), clock);

    table.mergePeerState(new NodeName("vm1"), sample);

    assertThat(table.suspicions(), is(sample));
    assertThat(table.digest(), is(-7186455577938703708L));
  }
}
