package org.cactusseam.logic.membership;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.IntConsumer;
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

/** Measures the slopes of the control state for the capacity page. Run as a program. */
final class ControlBenchmark {

  private static final int DOMAINS = 10;
  private static final int REGIONS = 3;
  private static final int MODELS = 7;
  private static final int WARM_UP = 3;
  private static final int REPEATS = 5;

  private ControlBenchmark() {}

  public static void main(String[] arguments) {
    for (int servers : List.of(11, 500, 3_200)) {
      for (int nodes : List.of(8, 100, 800)) {
        records(nodes, servers);
      }
    }
    for (int objects : List.of(1_000, 5_000)) {
      heap("configuration object (account)", objects, 0, objects);
    }
    for (int members : List.of(100, 800)) {
      heap("member", members, members, 0);
    }
  }

  private static ControlState state(int nodes, int servers, int accounts) {
    ControlState state = new ControlState();
    put(state, new PriorityClass(new PriorityClassName("gold"), 0, false));
    for (int number = 0; number < DOMAINS; number++) {
      put(state, domain(number, ServiceState.IN));
    }
    for (int number = 0; number < servers; number++) {
      put(state, server(number));
    }
    for (int number = 0; number < accounts; number++) {
      put(state, account(number, 1));
    }
    for (int number = 0; number < nodes; number++) {
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

  private static ClientAccount account(int number, int share) {
    return new ClientAccount(
        new AccountName("account-" + number),
        new PriorityClassName("gold"),
        share,
        List.of(String.format(Locale.ROOT, "%064x", number)));
  }

  private static void records(int nodes, int servers) {
    ControlState state = state(nodes, servers, 630);
    System.out.printf(
        "%d nodes, %d servers, %d shards:%n", nodes, servers, state.owners().owners().size());
    time("account change", 2_000, step -> put(state, account(step % 630, step)));
    time("domain taken out or in", 2_000, step -> put(state, flipped(state, step)));
    time("server change", 500, step -> put(state, server(step % servers)));
    int[] run = {0};
    time(
        "restart of a node (join and activate)",
        200,
        step -> {
          run[0]++;
          join(state, step % nodes, run[0]);
        });
    Member self = member(0, run[0] + 1);
    join(state, 0, run[0] + 1);
    Clock clock = Clock.systemUTC();
    MembershipCoordinator coordinator =
        new MembershipCoordinator(self, MembershipSettings.DEFAULT, clock);
    coordinator.applied(state);
    time(
        "the same, with a coordinator",
        200,
        step -> {
          run[0]++;
          Member member = member(1 + step % (nodes - 1), run[0]);
          state.apply(state.nextOffset(), new ControlRecord.Join(member));
          coordinator.applied(state);
          state.apply(state.nextOffset(), new ControlRecord.Activate(member.node(), member.boot()));
          coordinator.applied(state);
        });
    coordinator.logRead(clock.instant(), true);
    time("tick of a coordinator that reads the log", 200, step -> tick(coordinator));
    List<ShardId> shards = List.copyOf(state.owners().owners().keySet());
    List<Member> active = state.membership().active();
    time(
        "owners of all shards, computed anew",
        20,
        step -> shards.forEach(shard -> Ownership.ownerOf(shard, active)));
    time("question whether to grant", 10_000, step -> coordinator.mayGrant(shards.get(0)));
    time("shard map", 50, step -> ShardMap.of(state.configuration()));
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

  private static void time(String what, int count, IntConsumer action) {
    List<Long> nanos = new ArrayList<>();
    for (int repeat = 0; repeat < WARM_UP + REPEATS; repeat++) {
      long start = System.nanoTime();
      for (int step = 0; step < count; step++) {
        action.accept(step);
      }
      nanos.add((System.nanoTime() - start) / count);
    }
    List<Long> measured = nanos.subList(WARM_UP, nanos.size()).stream().sorted().toList();
    System.out.printf(
        "  %-40s %,12d ns (median of %d, %,d to %,d)%n",
        what, measured.get(REPEATS / 2), REPEATS, measured.getFirst(), measured.getLast());
  }

  private static void heap(String what, int count, int nodes, int accounts) {
    long before = used();
    ControlState base = state(0, 0, 0);
    long empty = used() - before;
    before = used();
    ControlState full = state(nodes, 0, accounts);
    long bytes = used() - before - empty;
    System.out.printf("%d of %s: %,d bytes each%n", count, what, bytes / count);
    if (base.nextOffset() >= full.nextOffset()) {
      throw new IllegalStateException("the states must stay reachable until here");
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
