package org.cactusseam.logic.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.TestReporter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against two granting owners of a shard, owners that have not applied a command from before
 * their epoch, accepted commands that are not in force, and shards that stay without an owner.
 * Covers every pair of faults in which the second one starts while the first lasts or soon after.
 */
class FaultPairsTest {

  private static final int SEEDS_PER_PAIR = 2;

  /**
   * Settings under which a small region is treated like a large one, where each node pings only a
   * few others.
   */
  private static final MembershipSettings RING = ring(MembershipSettings.DEFAULT);

  private static int cases;
  private static int accepted;

  @ParameterizedTest(name = "{0} and any other fault")
  @EnumSource(Fault.class)
  void one_owner_grants_and_accepted_commands_stay_in_force_during_two_faults(Fault first) {
    List<String> failures = new ArrayList<>();
    for (Fault second : Fault.values()) {
      for (int seed = 0; seed < SEEDS_PER_PAIR; seed++) {
        failures.addAll(simulate(first, second, seed));
      }
    }
    assertThat(failures, is(empty()));
  }

  @Property(seed = "7", tries = 200)
  void one_owner_grants_and_accepted_commands_stay_in_force_during_several_faults(
      @ForAll @Size(min = 3, max = 5) List<Fault> faults, @ForAll long seed) {
    ClusterSimulation cluster = started(seed, seed % 2 == 0 ? MembershipSettings.DEFAULT : RING);
    for (Fault fault : faults) {
      fault.inject(cluster, target(cluster), Fault.duration(cluster.random));
      submitCommands(cluster, 2);
      cluster.run(cluster.random.nextInt(6_000));
    }
    cluster.run(12_000);

    assertThat(finish(cluster, faults + ": "), is(empty()));
  }

  private static List<String> simulate(Fault first, Fault second, int seed) {
    ClusterSimulation cluster =
        started(
            seed + 1000L * first.ordinal() + 100_000L * second.ordinal(),
            seed % 2 == 0 ? MembershipSettings.DEFAULT : RING);
    SimulatedNode target = target(cluster);
    first.inject(cluster, target, Fault.duration(cluster.random));
    submitCommands(cluster, 3);
    cluster.run(cluster.random.nextInt(7_000));
    SimulatedNode other = cluster.random.nextBoolean() ? target : target(cluster);
    second.inject(cluster, other, Fault.duration(cluster.random));
    submitCommands(cluster, 6);
    cluster.run(18_000);
    return finish(cluster, first + " then " + second + ", seed " + seed + ": ");
  }

  private static ClusterSimulation started(long seed, MembershipSettings settings) {
    ClusterSimulation cluster = new ClusterSimulation(seed, settings);
    Stream.of("n0", "n1", "n2").forEach(name -> cluster.addNode(name, "a"));
    Stream.of("n3", "n4").forEach(name -> cluster.addNode(name, "b"));
    cluster.run(8_000);
    return cluster;
  }

  private static MembershipSettings ring(MembershipSettings settings) {
    return new MembershipSettings(
        settings.lease(),
        settings.permitValidity(),
        settings.driftMargin(),
        settings.failureDetectionTimeout(),
        settings.vmListLag(),
        settings.pingInterval(),
        settings.appendRetryInterval(),
        1,
        0);
  }

  /** Ends all faults and waits for 10 s, the longest time that the recovery of a shard may take. */
  private static List<String> finish(ClusterSimulation cluster, String label) {
    cluster.endAllFaults();
    cluster.run(10_000);
    cases++;
    accepted += cluster.acceptedCommands();
    List<String> failures = new ArrayList<>(cluster.violations());
    if (failures.isEmpty() && !cluster.shardsWithoutOwner().isEmpty()) {
      failures.add("without an owner after 10 s: " + cluster.shardsWithoutOwner());
    }
    return failures.stream().map(text -> label + text + "\n" + cluster.trace()).toList();
  }

  private static SimulatedNode target(ClusterSimulation cluster) {
    List<SimulatedNode> nodes = List.copyOf(cluster.nodes.values());
    return nodes.get(cluster.random.nextInt(nodes.size()));
  }

  private static void submitCommands(ClusterSimulation cluster, int count) {
    for (int number = 0; number < count; number++) {
      cluster.schedule(cluster.random.nextInt(12_000), cluster::submitCommand);
    }
  }

  @AfterAll
  static void the_cases_are_counted(TestReporter reporter) {
    reporter.publishEntry("cases of faults", Integer.toString(cases));
    reporter.publishEntry("accepted orders", Integer.toString(accepted));
    assertThat(accepted, is(greaterThan(cases)));
  }
}
