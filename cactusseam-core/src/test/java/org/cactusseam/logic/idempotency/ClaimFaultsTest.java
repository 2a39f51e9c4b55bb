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
 * Simulates several daemons under all pairs of faults with fixed seeds. Guards against requests
 * that are executed twice, requests that are executed although they were refused as "not run", and
 * new keys that are never executed.
 */
class ClaimFaultsTest {

  private static final int SEEDS = 20;

  /**
   * Multiplier for seeds, because java.util.Random returns similar first values for small seeds.
   */
  private static final long SEED_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private static final int NODES = 3;
  private static final int KEYS = 3;
  private static final int STEPS = 40;

  private record Result(ClaimSimulation simulation, List<UUID> keys) {}

  @ParameterizedTest
  @EnumSource(Fault.class)
  void a_key_is_executed_at_most_once_and_a_new_key_is_executed_under_each_pair_of_faults(
      Fault first) {
    int cases = 0;
    int executed = 0;
    int notExecuted = 0;
    for (Fault second : Fault.values()) {
      for (int seed = 0; seed < SEEDS; seed++) {
        String name = first + " + " + second + ", seed " + seed;
        Result result =
            simulate(EnumSet.of(first, second), (seed * 31L + first.ordinal()) * SEED_MULTIPLIER);
        assertThat(name, result.simulation.violations, is(empty()));
        assertThat(name, result.simulation.unanswered(), is(empty()));
        assertNewKeysAreExecuted(name, result.simulation);
        notExecuted += assertKeysNotExecutedCanBeClaimed(name, result);
        executed += result.simulation.executions.size();
        cases++;
      }
    }
    assertThat(cases, is(Fault.values().length * SEEDS));
    // Every case executes at least the new keys at its end. Without this check, a simulation that
    // sends nothing would pass.
    assertThat(executed, greaterThan(cases * NODES));
    // A key that was not executed although no daemon was killed must not be refused for good. Under
    // these faults, some keys of this kind must have occurred.
    boolean leavesKeysUnexecuted = EnumSet.of(Fault.LOST_REQUEST, Fault.OUTAGE).contains(first);
    assertThat(notExecuted, greaterThan(leavesKeysUnexecuted ? 10 : -1));
  }

  private static Result simulate(EnumSet<Fault> faults, long seed) {
    ClaimSimulation simulation = new ClaimSimulation(faults, seed, NODES);
    List<UUID> keys = new ArrayList<>();
    for (int key = 0; key < KEYS; key++) {
      keys.add(simulation.newKey());
    }
    int outageStep = simulation.random.nextInt(STEPS);
    int jumpStep = simulation.random.nextInt(STEPS);
    for (int step = 0; step < STEPS; step++) {
      simulation.log.available =
          !faults.contains(Fault.OUTAGE) || step < outageStep || step > outageStep + 10;
      if (faults.contains(Fault.RETENTION) && step == jumpStep) {
        simulation.clock.advance(clockJump(simulation.random.nextInt(3)));
      }
      sendRandomRequest(simulation, keys);
      simulation.run(Duration.ofMillis(100));
    }
    simulation.clearFaults();
    return new Result(simulation, keys);
  }

  /**
   * Returns a duration close to the age at which keys are refused or at which the log drops
   * records.
   */
  private static Duration clockJump(int choice) {
    Duration acceptanceWindow = ClaimSimulation.RETENTION.dividedBy(2);
    return switch (choice) {
      case 0 -> acceptanceWindow.minusSeconds(2);
      case 1 -> acceptanceWindow.plusSeconds(2);
      default -> ClaimSimulation.RETENTION.plusMinutes(1);
    };
  }

  private static void sendRandomRequest(ClaimSimulation simulation, List<UUID> keys) {
    if (simulation.random.nextInt(3) != 0) {
      return;
    }
    UUID key = keys.get(simulation.random.nextInt(KEYS));
    boolean hasOtherBody =
        simulation.faults.contains(Fault.OTHER_BODY) && simulation.random.nextBoolean();
    String body = hasOtherBody ? "other" : "body";
    int node = simulation.random.nextInt(NODES);
    simulation.send(node, key, body);
    if (simulation.faults.contains(Fault.SAME_KEY_AT_TWO_NODES)) {
      simulation.send((node + 1) % NODES, key, body);
    }
  }

  private static void assertNewKeysAreExecuted(String name, ClaimSimulation simulation) {
    List<UUID> newKeys = new ArrayList<>();
    for (int node = 0; node < NODES; node++) {
      UUID key = simulation.newKey();
      newKeys.add(key);
      assertThat(name, simulation.send(node, key, "body").isPresent(), is(true));
    }
    simulation.run(Duration.ofSeconds(1));
    for (UUID key : newKeys) {
      assertThat(name + " " + simulation.refused, simulation.executions.get(key), is(1));
    }
  }

  /**
   * Asserts that keys that were not executed can be executed later, unless a daemon process was
   * killed. Returns the number of these keys.
   */
  private static int assertKeysNotExecutedCanBeClaimed(String name, Result result) {
    ClaimSimulation simulation = result.simulation;
    Instant limit =
        simulation.clock.instant().minus(ClaimSimulation.RETENTION.dividedBy(2)).plusSeconds(200);
    List<UUID> notRun =
        result.keys.stream()
            .filter(key -> simulation.kills == 0 && !simulation.executions.containsKey(key))
            .filter(key -> timeOf(key).isAfter(limit))
            .toList();
    notRun.forEach(key -> simulation.send(0, key, "body"));
    simulation.run(Duration.ofSeconds(1));
    notRun.forEach(key -> assertThat(name, simulation.executions.get(key), is(1)));
    return notRun.size();
  }

  private static Instant timeOf(UUID key) {
    return Instant.ofEpochMilli(key.getMostSignificantBits() >>> 16);
  }

  @Test
  void a_repeated_request_gets_the_stored_response_from_the_claiming_daemon() {
    ClaimSimulation simulation = new ClaimSimulation(EnumSet.noneOf(Fault.class), 1, NODES);
    UUID key = simulation.newKey();
    simulation.send(0, key, "body");
    simulation.run(Duration.ofSeconds(1));

    ClaimId resent = simulation.send(1, key, "body").orElseThrow();
    ClaimId otherBody = simulation.send(2, key, "other").orElseThrow();
    simulation.run(Duration.ofSeconds(1));

    assertThat(simulation.replayed.containsKey(resent), is(true));
    assertThat(simulation.refused.get(otherBody), is(ResultCode.IDEMPOTENCY_KEY_REUSED));
    assertThat(simulation.executions.get(key), is(1));
  }

  @Test
  void an_outage_refuses_requests_immediately_and_the_key_can_be_executed_afterwards() {
    ClaimSimulation simulation = new ClaimSimulation(EnumSet.noneOf(Fault.class), 1, NODES);
    UUID key = simulation.newKey();
    simulation.log.available = false;
    simulation.run(Duration.ofMillis(200));
    ClaimId refused = simulation.send(0, key, "body").orElseThrow();
    assertThat(simulation.refused.get(refused), is(ResultCode.LOG_UNAVAILABLE));

    simulation.log.available = true;
    simulation.run(Duration.ofMillis(200));
    simulation.send(1, key, "body");
    simulation.run(Duration.ofSeconds(1));

    assertThat(simulation.executions.get(key), is(1));
  }
}
