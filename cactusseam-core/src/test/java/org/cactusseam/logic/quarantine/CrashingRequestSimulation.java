package org.cactusseam.logic.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.quarantine.CrashId;

/**
 * Simulates shards with one owner each, and a request that crashes every server on which it runs.
 */
final class CrashingRequestSimulation {

  static final String CRASHER = "crasher";
  private static final int SERVERS = 16;
  private static final int COMPANIONS = 20;

  private final class Shard {
    final NodeName owner;
    final QuarantineTable table;
    final List<Set<String>> running = new ArrayList<>();
    final int[] incarnations = new int[SERVERS];
    int crashes;

    Shard(int index) {
      owner = new NodeName("vm" + index);
      table = new QuarantineTable(owner, clock);
      for (int server = 0; server < SERVERS; server++) {
        running.add(new HashSet<>());
      }
    }

    /**
     * Places a request on the first server that may run it and does not run a copy of it; returns
     * the index of the server, or -1.
     */
    int place(String request) {
      for (int server = 0; server < SERVERS; server++) {
        boolean copy = running.get(server).contains(request);
        if (!copy && table.decide(request, running.get(server)) == QuarantineDecision.ALLOWED) {
          running.get(server).add(request);
          return server;
        }
      }
      return -1;
    }

    CrashId crash(int server) {
      crashes++;
      trace.add(owner + " loses server " + server + " with " + running.get(server).size());
      Set<String> lost = Set.copyOf(running.get(server));
      running.get(server).clear();
      BackendServerName name = new BackendServerName(owner + "-" + server);
      return table.recordCrash(name, "run" + incarnations[server]++, lost);
    }

    void completeAll() {
      for (Set<String> requests : running) {
        requests.forEach(table::recordCompletion);
        requests.clear();
      }
    }
  }

  final PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
  final List<String> trace = new ArrayList<>();
  private final List<Shard> shards = new ArrayList<>();
  private final Map<NodeName, Integer> indexes = new HashMap<>();
  private final Random random;
  private final BiPredicate<Integer, Integer> reachable;

  CrashingRequestSimulation(int size, long seed, BiPredicate<Integer, Integer> reachable) {
    this.random = new Random(seed);
    this.reachable = reachable;
    for (int index = 0; index < size; index++) {
      shards.add(new Shard(index));
      indexes.put(shards.get(index).owner, index);
    }
  }

  /**
   * Sends copies of the crashing request and other requests to shards, and lets them crash servers
   * or end normally.
   */
  void runRound(List<Integer> targets, boolean newCompanions, boolean failuresHeld) {
    List<Runnable> crashes = new ArrayList<>();
    List<CrashId> reports = new ArrayList<>();
    for (int target : targets) {
      Shard shard = shards.get(target);
      int server = shard.place(CRASHER);
      placeCompanions(shard, newCompanions);
      if (server >= 0) {
        crashes.add(() -> reports.add(shard.crash(server)));
      }
    }
    crashes.forEach(Runnable::run);
    if (random.nextBoolean()) {
      shards.forEach(Shard::completeAll);
    }
    exchange(failuresHeld ? 1.0 : 0.05);
    clock.advance(Duration.ofMillis(100));
    if (failuresHeld) {
      waitUntilOwnersKnow(reports);
    }
    shards.forEach(Shard::completeAll);
  }

  private void placeCompanions(Shard shard, boolean newCompanions) {
    int count = random.nextInt(COMPANIONS + 1);
    for (int index = 0; index < count; index++) {
      shard.place("companion" + (newCompanions ? random.nextInt(1_000_000) : index));
    }
  }

  private void waitUntilOwnersKnow(List<CrashId> reports) {
    List<NodeName> owners = shards.stream().map(shard -> shard.owner).toList();
    for (CrashId report : reports) {
      QuarantineTable table = shards.get(indexes.get(report.reporter())).table;
      while (!table.isKnownToOwners(report, owners)) {
        clock.advance(Duration.ofMillis(100));
        exchange(1.0);
      }
    }
  }

  /**
   * Lets each pair of owners that can reach each other exchange its state with the given
   * probability.
   */
  void exchange(double probability) {
    for (int from = 0; from < shards.size(); from++) {
      for (int to = 0; to < shards.size(); to++) {
        if (from != to && reachable.test(from, to) && random.nextDouble() < probability) {
          Shard sender = shards.get(from);
          shards.get(to).table.mergePeerState(sender.owner, sender.table.suspicions());
        }
      }
    }
  }

  int mostCrashesInOneShard() {
    return shards.stream().mapToInt(shard -> shard.crashes).max().orElseThrow();
  }

  int crashes() {
    return shards.stream().mapToInt(shard -> shard.crashes).sum();
  }

  boolean isQuarantinedEverywhere() {
    return shards.stream().allMatch(shard -> shard.table.isQuarantined(CRASHER));
  }

  boolean isOtherQuarantined() {
    return shards.stream()
        .flatMap(shard -> shard.table.suspicions().convictions().stream())
        .anyMatch(conviction -> !conviction.fingerprint().equals(CRASHER));
  }

  /** Returns the decision of a shard's owner on the crashing request for an idle server. */
  QuarantineDecision placement(int shard) {
    shards.get(shard).table.tick();
    return shards.get(shard).table.decide(CRASHER, List.of());
  }
}
