package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.ServerPace;
import org.cactusseam.model.gateway.VersionFilter;

/**
 * Simulates plain requests of many VMs at servers whose pace varies, in steps of 1 ms. Servers have
 * few slots and queue what exceeds them, VMs exchange loads and paces over links with a delay.
 */
final class PaceReplay {

  private static final long SEED = 1;
  private static final int SERVERS = 20;
  private static final int SLOTS = 4;
  private static final int WORK_MILLIS = 100;
  private static final double REQUESTS_PER_MILLI = 0.23;
  private static final int WARM_UP_MILLIS = 5_000;
  private static final int DURATION_MILLIS = 25_000;
  private static final int TICK_MILLIS = 50;
  private static final int LINK_DELAY_MILLIS = 2;

  /** Time between two draws of the pace of all servers. */
  private static final int WAVE_MILLIS = 600;

  private static final double SLOW_SHARE = 1 / 7.0;
  private static final int SLOW_PERCENT = 250;

  /** How the pace of the servers varies, and what they state. */
  enum Pattern {
    /** A seventh of the servers is slow, drawn anew every 0.6 s. */
    WAVES,
    /** The same servers are slow all the time. */
    PERMANENT,
    /** All but one server are slow, and the fast one is drawn anew. */
    ONE_FAST,
    /** The same servers are slow all the time but state the usual pace. */
    UNTRUE,
    /** The same servers are slow for one of the two routes and state the usual pace. */
    ONE_ROUTE
  }

  private final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final Random random = new Random(SEED);
  private final Pattern pattern;
  private final List<Server> servers;
  private final List<Vm> vms;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((one, other) -> Long.compare(one.atMillis, other.atMillis));
  private final List<Long> durations = new ArrayList<>();

  private record Event(long atMillis, Runnable action) {}

  private static final class Run {
    private final Vm vm;
    private final String route;
    private final long arrivedMillis;
    private long sentMillis;
    private double remainingMillis = WORK_MILLIS;

    Run(Vm vm, String route, long arrivedMillis) {
      this.vm = vm;
      this.route = route;
      this.arrivedMillis = arrivedMillis;
    }
  }

  private final class Server {
    private final String id;
    private final Deque<Run> runs = new ArrayDeque<>();
    private boolean slow;

    Server(int number) {
      this.id = "s-" + number;
      this.slow = number % 7 == 0;
    }

    int statedPercent() {
      boolean isUntrue = pattern == Pattern.UNTRUE || pattern == Pattern.ONE_ROUTE;
      return slow && !isUntrue ? SLOW_PERCENT : ServerPace.USUAL_PERCENT;
    }

    void work() {
      List<Run> ended = new ArrayList<>();
      runs.stream()
          .limit(SLOTS)
          .forEach(
              run -> {
                boolean isSlow = slow && (pattern != Pattern.ONE_ROUTE || run.route.equals("a"));
                run.remainingMillis -= isSlow ? 100.0 / SLOW_PERCENT : 1;
                if (run.remainingMillis <= 0) {
                  ended.add(run);
                }
              });
      runs.removeAll(ended);
      ended.forEach(run -> run.vm.end(run, this));
    }
  }

  private final class Vm {
    private final String name;
    private final boolean exchangesPaces;
    private final ServerLoads loads = new ServerLoads();
    private final ServerPaces paces;
    private final LoadBroadcastPolicy policy = new LoadBroadcastPolicy();
    private final Deque<Run> waiting = new ArrayDeque<>();
    private final ServerSelector selector;

    Vm(String name, ServerTable table, Optional<ServerPaces> paces, boolean exchangesPaces) {
      this.name = name;
      this.exchangesPaces = exchangesPaces;
      this.paces = paces.orElseGet(ServerPaces::new);
      this.selector =
          new ServerSelector(
              clock,
              new ServerSelector.Location("d", Map.of("d", "r")),
              table,
              loads,
              this.paces,
              new ServerHealth(),
              new LeavingServers(),
              new EngineReports(),
              new ColdLimit.Tolerance(1.5, 5));
    }

    boolean tryStart(Run run) {
      ServerSelector.Requirements requirements =
          new ServerSelector.Requirements(
              GatewayFixtures.PLAIN,
              Set.of(),
              0,
              Set.of(),
              random.nextInt(),
              run.route,
              VersionFilter.ANY);
      Optional<ServerInstance> chosen = selector.choose(requirements);
      chosen.ifPresent(
          server -> {
            run.sentMillis = clock.millis();
            loads.addRun(server.id(), 0);
            servers.get(Integer.parseInt(server.id().substring(2))).runs.add(run);
          });
      return chosen.isPresent();
    }

    void end(Run run, Server server) {
      loads.removeRun(server.id, 0);
      if (run.arrivedMillis > WARM_UP_MILLIS) {
        durations.add(clock.millis() - run.arrivedMillis);
      }
      if (isPaced) {
        ServerPace stated = new ServerPace(server.statedPercent());
        Instant now = clock.instant();
        paces.recordStatement(server.id, stated, now);
        paces.recordDuration(
            server.id,
            new ServerPaces.Work(run.route, true),
            Duration.ofMillis(clock.millis() - run.sentMillis),
            Optional.of(stated),
            now);
      }
    }

    void exchange() {
      Map<String, ServerLoads.ServerLoad> own = loads.own();
      int others = vms.size() - 1;
      if (policy.isDue(own, others, clock.instant())) {
        policy.recordBroadcast(own, others, clock.instant());
        Map<String, ServerPaces.AgedPace> stated = paces.ownStatements(clock.instant());
        for (Vm other : vms) {
          if (other != this) {
            schedule(() -> other.receive(name, own, stated));
          }
        }
      }
    }

    private void receive(
        String peer,
        Map<String, ServerLoads.ServerLoad> own,
        Map<String, ServerPaces.AgedPace> stated) {
      loads.setPeerLoads(peer, own, clock.instant());
      if (exchangesPaces) {
        paces.recordPeerStatements(stated, clock.instant());
      }
    }
  }

  private final boolean isPaced;

  /**
   * Creates a replay.
   *
   * @param paces creates the estimate of each VM; empty if servers state no pace
   */
  PaceReplay(
      Pattern pattern, int vmCount, Optional<Supplier<ServerPaces>> paces, boolean exchanges) {
    this.pattern = pattern;
    this.isPaced = paces.isPresent();
    ServerTable table = new ServerTable();
    servers = IntStream.range(0, SERVERS).mapToObj(Server::new).toList();
    for (Server server : servers) {
      table.put(
          new ServerInstance(
              server.id, 1, "plain", "127.0.0.1", 8_000, "d", SLOTS, false, Duration.ZERO, "v1"),
          Instant.EPOCH.minusSeconds(60));
    }
    vms =
        IntStream.range(0, vmCount)
            .mapToObj(number -> new Vm("vm-" + number, table, paces.map(Supplier::get), exchanges))
            .toList();
  }

  private void schedule(Runnable action) {
    events.add(new Event(clock.millis() + LINK_DELAY_MILLIS, action));
  }

  /** Runs the simulation and returns the sorted response times in milliseconds. */
  List<Long> durations() {
    for (int step = 0; step < DURATION_MILLIS; step++) {
      if (step % WAVE_MILLIS == 0) {
        redraw();
      }
      while (!events.isEmpty() && events.peek().atMillis <= clock.millis()) {
        events.poll().action.run();
      }
      if (random.nextDouble() < REQUESTS_PER_MILLI) {
        Vm vm = vms.get(random.nextInt(vms.size()));
        vm.waiting.add(new Run(vm, random.nextBoolean() ? "a" : "b", clock.millis()));
      }
      servers.forEach(Server::work);
      for (int number = 0; number < vms.size(); number++) {
        Vm vm = vms.get(number);
        while (!vm.waiting.isEmpty() && vm.tryStart(vm.waiting.peek())) {
          vm.waiting.poll();
        }
        if ((step + number) % TICK_MILLIS == 0) {
          vm.exchange();
        }
      }
      clock.advance(1);
    }
    Collections.sort(durations);
    return durations;
  }

  private void redraw() {
    if (pattern == Pattern.WAVES) {
      servers.forEach(server -> server.slow = random.nextDouble() < SLOW_SHARE);
    } else if (pattern == Pattern.ONE_FAST) {
      int fast = random.nextInt(SERVERS);
      IntStream.range(0, SERVERS).forEach(each -> servers.get(each).slow = each != fast);
    }
  }

  /** Returns a quantile of sorted values. */
  static long quantile(List<Long> sorted, double share) {
    return sorted.get((int) (share * (sorted.size() - 1)));
  }
}
