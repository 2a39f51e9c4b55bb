package org.cactusseam.logic.membership;

import java.lang.management.ManagementFactory;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.Member;

/**
 * Measures how the cost of the control state grows with the size of a deployment. It reports the
 * CPU time of the thread, which other load on the machine distorts less than elapsed time. Run it
 * as a program and pipe its output through {@code fit-slopes}, which prints the slope and the
 * residuals of each series.
 */
final class ControlBenchmark {

  private static final int DOMAINS = 10;
  private static final int REGIONS = 3;
  private static final int MODELS = 7;
  private static final int WARM_UP = 3;
  private static final int REPEATS = 5;

  private ControlBenchmark() {}

  /** Size of a deployment. One of the numbers varies within a series. */
  private record Size(int nodes, int servers, int accounts, int keys) {}

  /**
   * Name and value of the number that varies within a series; points with value 0 are not printed.
   */
  private record Axis(String name, int value) {}

  /**
   * Runs the benchmark.
   *
   * @param arguments names of the series to run: heap, nodes, servers, accounts, keys; all if empty
   */
  public static void main(String[] arguments) {
    List<String> all = List.of("heap", "nodes", "servers", "accounts", "keys");
    for (String series : arguments.length == 0 ? all : List.of(arguments)) {
      run(series);
    }
  }

  private static void run(String series) {
    if (series.equals("heap")) {
      // Must run before other series: their garbage and compiled code would distort the difference.
      heaps();
      return;
    }
    records(new Axis("warm-up", 0), new Size(20, 200, 200, 1));
    switch (series) {
      case "nodes" -> {
        for (int nodes : List.of(8, 100, 400, 800)) {
          records(new Axis("nodes", nodes), new Size(nodes, 500, 630, 1));
        }
      }
      case "servers" -> {
        for (int servers : List.of(11, 200, 800, 1_600, 3_200)) {
          records(new Axis("servers", servers), new Size(100, servers, 630, 1));
        }
      }
      case "accounts" -> {
        for (int accounts : List.of(100, 630, 2_000, 5_000)) {
          records(new Axis("accounts", accounts), new Size(8, 100, accounts, 1));
        }
      }
      case "keys" -> {
        for (int keys : List.of(1, 4, 8, 16)) {
          records(new Axis("keys of each account", keys), new Size(8, 100, 630, keys));
        }
      }
      default -> throw new IllegalArgumentException("no series " + series);
    }
  }

  private static void heaps() {
    heap(new Axis("warm-up", 0), new Size(10, 10, 10, 1));
    for (int accounts : List.of(100, 630, 2_000, 5_000)) {
      heap(new Axis("accounts", accounts), new Size(0, 0, accounts, 1));
    }
    for (int keys : List.of(1, 4, 8, 16)) {
      heap(new Axis("keys of each of 630 accounts", keys), new Size(0, 0, 630, keys));
    }
    for (int members : List.of(100, 200, 400, 800)) {
      heap(new Axis("members", members), new Size(members, 0, 0, 1));
    }
    for (int servers : List.of(400, 800, 1_600, 3_200)) {
      heap(new Axis("servers", servers), new Size(0, servers, 0, 1));
    }
  }

  private static ControlState state(Size size) {
    ControlState state = new ControlState();
    put(state, new PriorityClass(new PriorityClassName("gold"), 0, false));
    for (int number = 0; number < DOMAINS; number++) {
      put(state, domain(number, ServiceState.IN));
    }
    for (int number = 0; number < size.servers(); number++) {
      put(state, server(number));
    }
    for (int number = 0; number < size.accounts(); number++) {
      put(state, account(number, 1, size.keys()));
    }
    for (int number = 0; number < size.nodes(); number++) {
      join(state, number, 0);
    }
    return state;
  }

  private static void put(ControlState state, ConfigurationObject object) {
    long offset = state.nextOffset();
    long expected = state.expectedRevision(object.key());
    state.apply(
        offset,
        offset,
        new ControlRecord.Change(
            "command-" + offset, object.key(), expected, Optional.of(object), "operator"));
  }

  private static void join(ControlState state, int number, int run) {
    Member member = member(number, run);
    state.apply(state.nextOffset(), new ControlRecord.Join(member));
    state.apply(state.nextOffset(), new ControlRecord.Activate(member.node(), member.boot()));
  }

  private static FailureDomain domain(int number, ServiceState serviceState) {
    return new FailureDomain(
        new FailureDomainName("domain-" + number), region(number), serviceState);
  }

  private static RegionName region(int number) {
    return new RegionName("region-" + number % DOMAINS % REGIONS);
  }

  private static Member member(int number, int run) {
    String boot = String.format(Locale.ROOT, "01890a5d-ac96-774b-bcce-%012d", run);
    FailureDomainName domain = new FailureDomainName("domain-" + number % DOMAINS);
    NodeName node = new NodeName("node-" + number);
    return new Member(node, boot, "10.0.0." + number, 7000, domain, region(number));
  }

  private static BackendServer server(int number) {
    return new BackendServer(
        new BackendServerName("server-" + number),
        new PoolName("pool-" + number / DOMAINS % MODELS),
        new FailureDomainName("domain-" + number % DOMAINS),
        BackendKind.ENGINE,
        "10.1.0." + number,
        8000,
        true,
        2,
        64,
        1_000_000,
        ServiceState.IN);
  }

  private static ClientAccount account(int number, int share, int keys) {
    return new ClientAccount(
        new AccountName("account-" + number),
        new PriorityClassName("gold"),
        share,
        IntStream.range(0, keys)
            .mapToObj(key -> String.format(Locale.ROOT, "%032x%032x", number, key))
            .toList());
  }

  private static void records(Axis axis, Size size) {
    ControlState state = state(size);
    int nodes = size.nodes();
    int accounts = size.accounts();
    time(
        axis,
        "account change",
        2_000,
        step -> put(state, account(step % accounts, step, size.keys())));
    time(axis, "domain taken out or in", 2_000, step -> put(state, flipped(state, step)));
    time(axis, "server change", 200, step -> put(state, server(step % size.servers())));
    membership(axis, state, nodes);
    time(axis, "shard map", 20, step -> ShardMap.of(state.configuration()));
  }

  private static void membership(Axis axis, ControlState state, int nodes) {
    int[] run = {0};
    time(
        axis,
        "restart of a node (join and activate)",
        100,
        step -> {
          run[0]++;
          join(state, step % nodes, run[0]);
        });
    Member self = member(0, run[0] + 1);
    join(state, 0, run[0] + 1);
    Clock clock = Clock.systemUTC();
    MembershipCoordinator coordinator =
        new MembershipCoordinator(self, MembershipSettings.DEFAULT, clock);
    coordinator.onStateApplied(state);
    time(
        axis,
        "the same, with a coordinator",
        100,
        step -> {
          run[0]++;
          Member member = member(1 + step % (nodes - 1), run[0]);
          state.apply(state.nextOffset(), new ControlRecord.Join(member));
          coordinator.onStateApplied(state);
          state.apply(state.nextOffset(), new ControlRecord.Activate(member.node(), member.boot()));
          coordinator.onStateApplied(state);
        });
    coordinator.onLogRead(clock.instant(), true);
    time(axis, "tick of a coordinator that reads the log", 200, step -> tick(coordinator));
    List<ShardId> shards = List.copyOf(state.owners().owners().keySet());
    List<Member> active = state.membership().active();
    time(
        axis,
        "owners of all shards, computed anew",
        20,
        step -> shards.forEach(shard -> OwnerSelection.ownerOf(shard, active)));
    time(axis, "question whether to grant", 10_000, step -> coordinator.mayGrant(shards.get(0)));
  }

  private static void tick(MembershipCoordinator coordinator) {
    coordinator.tick();
    coordinator.drain();
  }

  private static FailureDomain flipped(ControlState state, int step) {
    FailureDomain domain = domain(step % DOMAINS, ServiceState.IN);
    ServiceState known = state.configuration().domain(domain.name()).orElseThrow().state();
    return domain.withState(known == ServiceState.IN ? ServiceState.OUT : ServiceState.IN);
  }

  private static void time(Axis axis, String what, int count, IntConsumer action) {
    List<Long> nanos = new ArrayList<>();
    for (int repeat = 0; repeat < WARM_UP + REPEATS; repeat++) {
      long start = processorNanos();
      for (int step = 0; step < count; step++) {
        action.accept(step);
      }
      nanos.add((processorNanos() - start) / count);
    }
    List<Long> measured = nanos.subList(WARM_UP, nanos.size()).stream().sorted().toList();
    point(axis, what, measured.get(REPEATS / 2), "ns");
  }

  private static long processorNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static void point(Axis axis, String what, long value, String unit) {
    if (axis.value() > 0) {
      System.out.printf("point|%s by %s|%d|%d|%s%n", what, axis.name(), axis.value(), value, unit);
    }
  }

  private static void heap(Axis axis, Size size) {
    long before = used();
    ControlState state = state(size);
    point(axis, "heap", used() - before, "bytes");
    if (state.nextOffset() == 0) {
      throw new IllegalStateException("the state must stay reachable until here");
    }
  }

  private static long used() {
    for (int repeat = 0; repeat < 4; repeat++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
