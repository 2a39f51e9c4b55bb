package org.cactusseam.logic.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.UUID;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.claim.ClaimId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a request that runs twice, an untrue "not run" and a fresh key that never runs,
 * under all pairs of faults with fixed seeds.
 */
class ClaimFaultsTest {

  private static final int SEEDS = 20;

  /** Small seeds give java.util.Random similar first values; the product spreads them. */
  private static final long SPREAD = 0x9E3779B97F4A7C15L;

  private static final int NODES = 3;
  private static final int KEYS = 3;
  private static final int STEPS = 40;

  private record Result(ClaimSimulation fleet, List<UUID> keys) {}

  @ParameterizedTest
  @EnumSource(Fault.class)
  void a_key_runs_at_most_once_and_a_fresh_key_runs_with_each_second_fault(Fault first) {
    int cases = 0;
    int executed = 0;
    int released = 0;
    for (Fault second : Fault.values()) {
      for (int seed = 0; seed < SEEDS; seed++) {
        String name = first + " + " + second + ", seed " + seed;
        Result result = play(EnumSet.of(first, second), (seed * 31L + first.ordinal()) * SPREAD);
        assertThat(name, result.fleet.violations, is(empty()));
        assertThat(name, result.fleet.unanswered(), is(empty()));
        assertFreshKeysRun(name, result.fleet);
        released += assertKeysThatDidNotRunAreFree(name, result);
        executed += result.fleet.executions.size();
        cases++;
      }
    }
    assertThat(cases, is(Fault.values().length * SEEDS));
    // Every case runs at least the fresh keys at its end; a driver that sends nothing would pass.
    assertThat(executed, greaterThan(cases * NODES));
    // Keys that nobody may refuse for good: under these faults some of them must have occurred.
    boolean leavesReleases = EnumSet.of(Fault.LOST_REQUEST, Fault.OUTAGE).contains(first);
    assertThat(released, greaterThan(leavesReleases ? 10 : -1));
  }

  private static Result play(EnumSet<Fault> faults, long seed) {
    ClaimSimulation fleet = new ClaimSimulation(faults, seed, NODES);
    List<UUID> keys = new ArrayList<>();
    for (int key = 0; key < KEYS; key++) {
      keys.add(fleet.newKey());
    }
    int outage = fleet.random.nextInt(STEPS);
    int jump = fleet.random.nextInt(STEPS);
    for (int step = 0; step < STEPS; step++) {
      fleet.log.up = !faults.contains(Fault.OUTAGE) || step < outage || step > outage + 10;
      if (faults.contains(Fault.RETENTION) && step == jump) {
        fleet.clock.advance(jumpOver(fleet.random.nextInt(3)));
      }
      sendSome(fleet, keys);
      fleet.run(Duration.ofMillis(100));
    }
    fleet.heal();
    return new Result(fleet, keys);
  }

  /** Durations around the ages at which keys are refused and at which the log drops records. */
  private static Duration jumpOver(int choice) {
    Duration window = ClaimSimulation.RETENTION.dividedBy(2);
    return switch (choice) {
      case 0 -> window.minusSeconds(2);
      case 1 -> window.plusSeconds(2);
      default -> ClaimSimulation.RETENTION.plusMinutes(1);
    };
  }

  private static void sendSome(ClaimSimulation fleet, List<UUID> keys) {
    if (fleet.random.nextInt(3) != 0) {
      return;
    }
    UUID key = keys.get(fleet.random.nextInt(KEYS));
    boolean other = fleet.faults.contains(Fault.OTHER_BODY) && fleet.random.nextBoolean();
    String body = other ? "other" : "body";
    int node = fleet.random.nextInt(NODES);
    fleet.send(node, key, body);
    if (fleet.faults.contains(Fault.SAME_KEY_AT_TWO_NODES)) {
      fleet.send((node + 1) % NODES, key, body);
    }
  }

  private static void assertFreshKeysRun(String name, ClaimSimulation fleet) {
    List<UUID> fresh = new ArrayList<>();
    for (int node = 0; node < NODES; node++) {
      UUID key = fleet.newKey();
      fresh.add(key);
      assertThat(name, fleet.send(node, key, "body").isPresent(), is(true));
    }
    fleet.run(Duration.ofSeconds(1));
    for (UUID key : fresh) {
      assertThat(name + " " + fleet.refused, fleet.executions.get(key), is(1));
    }
  }

  /** Only a run that died may leave a key that did not run and cannot run. */
  private static int assertKeysThatDidNotRunAreFree(String name, Result result) {
    ClaimSimulation fleet = result.fleet;
    Instant limit =
        fleet.clock.instant().minus(ClaimSimulation.RETENTION.dividedBy(2)).plusSeconds(200);
    List<UUID> notRun =
        result.keys.stream()
            .filter(key -> fleet.kills == 0 && !fleet.executions.containsKey(key))
            .filter(key -> timeOf(key).isAfter(limit))
            .toList();
    notRun.forEach(key -> fleet.send(0, key, "body"));
    fleet.run(Duration.ofSeconds(1));
    notRun.forEach(key -> assertThat(name, fleet.executions.get(key), is(1)));
    return notRun.size();
  }

  private static Instant timeOf(UUID key) {
    return Instant.ofEpochMilli(key.getMostSignificantBits() >>> 16);
  }

  @Test
  void a_resend_gets_the_stored_answer_from_the_node_of_the_claim() {
    ClaimSimulation fleet = new ClaimSimulation(EnumSet.noneOf(Fault.class), 1, NODES);
    UUID key = fleet.newKey();
    fleet.send(0, key, "body");
    fleet.run(Duration.ofSeconds(1));

    ClaimId resent = fleet.send(1, key, "body").orElseThrow();
    ClaimId otherBody = fleet.send(2, key, "other").orElseThrow();
    fleet.run(Duration.ofSeconds(1));

    assertThat(fleet.answered.containsKey(resent), is(true));
    assertThat(fleet.refused.get(otherBody), is(ResultCode.IDEMPOTENCY_KEY_REUSED));
    assertThat(fleet.executions.get(key), is(1));
  }

  @Test
  void an_outage_refuses_immediately_and_the_key_runs_afterwards() {
    ClaimSimulation fleet = new ClaimSimulation(EnumSet.noneOf(Fault.class), 1, NODES);
    UUID key = fleet.newKey();
    fleet.log.up = false;
    fleet.run(Duration.ofMillis(200));
    ClaimId refused = fleet.send(0, key, "body").orElseThrow();
    assertThat(fleet.refused.get(refused), is(ResultCode.LOG_UNAVAILABLE));

    fleet.log.up = true;
    fleet.run(Duration.ofMillis(200));
    fleet.send(1, key, "body");
    fleet.run(Duration.ofSeconds(1));

    assertThat(fleet.executions.get(key), is(1));
  }
}
