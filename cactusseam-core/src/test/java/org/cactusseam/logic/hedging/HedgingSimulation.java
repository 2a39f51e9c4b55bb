package org.cactusseam.logic.hedging;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.cactusseam.logic.gateway.ColdLimit;
import org.cactusseam.logic.gateway.EngineReports;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.logic.gateway.ServerHealth;
import org.cactusseam.logic.gateway.ServerLoads;
import org.cactusseam.logic.gateway.ServerPaces;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.logic.gateway.ServerTable;
import org.cactusseam.logic.gateway.SharedRetryBudget;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.ServerInstance;

/** Serves seeded arrivals in simulated time with the decisions of {@link HedgingPolicy}. */
final class HedgingSimulation {

  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final double RETRY_RATIO = 0.2;
  private static final double RETRY_ALLOWANCE = 52;
  private static final double MEDIAN_MILLIS = 40;
  private static final double SIGMA = 0.3;
  private static final Duration TARGET_LATENCY = Duration.ofMillis(200);
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final GatewayService SERVICE =
      new GatewayService("plain", "/healthz", 100, 0, Optional.empty());

  private final Scenario scenario;
  private final Random random;
  private final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final ServerTable servers = new ServerTable();
  private final ServerLoads loads = new ServerLoads();
  private final ServerSelector selector;
  private final List<ServerInstance> instances = new ArrayList<>();
  private final List<Vm> vms = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
  private final Deque<Call> waiting = new ArrayDeque<>();
  private final Deque<Instant> arrivals = new ArrayDeque<>();
  private final Deque<Instant> extras = new ArrayDeque<>();
  private final List<Double> times = new ArrayList<>();
  private final Map<HedgeDecision.Reason, Integer> denied =
      new EnumMap<>(HedgeDecision.Reason.class);
  private final Map<Long, Integer> extrasBySecond = new HashMap<>();
  private int sent;
  private double worstShare;
  private long nextNumber;

  /**
   * Load and servers.
   *
   * @param seed seed of the arrivals and response times
   * @param vmCount number of VMs
   * @param serverCount number of servers, in two failure domains
   * @param slots slots of each server
   * @param ratePerSecond requests a second over all VMs
   * @param seconds duration
   * @param extraShare largest share of extra requests; 0 for none
   * @param pace factor of the response time of a server at a time
   * @param tailShare share of responses that take 8 times as long, at any server
   */
  record Scenario(
      long seed,
      int vmCount,
      int serverCount,
      int slots,
      double ratePerSecond,
      int seconds,
      double extraShare,
      Pace pace,
      double tailShare) {

    Scenario withoutHedging() {
      return new Scenario(
          seed, vmCount, serverCount, slots, ratePerSecond, seconds, 0, pace, tailShare);
    }
  }

  /** Factor by which the responses of a server take longer at a time. */
  interface Pace {
    double factor(int server, Instant now);
  }

  /**
   * Outcome.
   *
   * @param p50 median of the times from arrival to response, in milliseconds
   * @param p99 99th percentile of these times, in milliseconds
   * @param extraShare extra requests, relative to all requests
   * @param worstShare largest share of extra requests in any window, over all VMs
   * @param denied number of denials by reason
   * @param extrasBySecond number of extra requests in each second
   */
  record Outcome(
      double p50,
      double p99,
      double extraShare,
      double worstShare,
      Map<HedgeDecision.Reason, Integer> denied,
      Map<Long, Integer> extrasBySecond) {

    int extrasBetween(int firstSecond, int endSecond) {
      return extrasBySecond.entrySet().stream()
          .filter(entry -> entry.getKey() >= firstSecond && entry.getKey() < endSecond)
          .mapToInt(Map.Entry::getValue)
          .sum();
    }
  }

  private record Event(Instant at, long number, Runnable action) {}

  private record Vm(HedgingPolicy policy, SharedRetryBudget budget) {}

  private static final class Call {
    private final Vm vm;
    private final Instant arrivedAt;
    private final List<Try> tries = new ArrayList<>();
    private boolean isDone;

    Call(Vm vm, Instant arrivedAt) {
      this.vm = vm;
      this.arrivedAt = arrivedAt;
    }
  }

  private record Try(ServerInstance server, Instant sentAt) {}

  private HedgingSimulation(Scenario scenario) {
    this.scenario = scenario;
    this.random = new Random(scenario.seed());
    Map<String, String> regions = Map.of("ost-wien", "ost", "ost-graz", "ost");
    this.selector =
        new ServerSelector(
            clock,
            new ServerSelector.Location("ost-wien", regions),
            servers,
            loads,
            new ServerPaces(),
            new ServerHealth(),
            new LeavingServers(),
            new EngineReports(),
            new ColdLimit.Tolerance(1.5, 5));
    for (int number = 0; number < scenario.serverCount(); number++) {
      String domain = number % 2 == 0 ? "ost-wien" : "ost-graz";
      ServerInstance server =
          new ServerInstance(
              "s-" + number,
              1,
              SERVICE.name(),
              "127.0.0.1",
              8_000,
              domain,
              scenario.slots(),
              false,
              Duration.ZERO,
              "v1");
      servers.put(server, Instant.EPOCH.minusSeconds(60));
      instances.add(server);
    }
    Instant startedAt = Instant.EPOCH.minusSeconds(60);
    for (int number = 0; number < scenario.vmCount(); number++) {
      vms.add(
          new Vm(
              new HedgingPolicy(WINDOW, scenario.extraShare(), startedAt, servers, selector),
              new SharedRetryBudget(WINDOW, RETRY_RATIO, RETRY_ALLOWANCE, startedAt)));
    }
  }

  static Outcome run(Scenario scenario) {
    return new HedgingSimulation(scenario).run();
  }

  private Outcome run() {
    at(Duration.ZERO, this::arrive);
    while (!events.isEmpty()) {
      Event event = events.remove();
      clock.advance(Duration.between(clock.instant(), event.at()).toMillis());
      event.action().run();
    }
    times.sort(Comparator.naturalOrder());
    return new Outcome(
        quantile(0.5),
        quantile(0.99),
        (double) extrasBySecond.values().stream().mapToInt(Integer::intValue).sum() / sent,
        worstShare,
        denied,
        extrasBySecond);
  }

  private double quantile(double share) {
    return times.get((int) Math.ceil(share * times.size()) - 1);
  }

  private void at(Duration delay, Runnable action) {
    events.add(new Event(clock.instant().plus(delay), nextNumber++, action));
  }

  private static Duration millis(double value) {
    return Duration.ofMillis(Math.max(1, Math.round(value)));
  }

  private void arrive() {
    Instant now = clock.instant();
    if (now.isAfter(Instant.EPOCH.plusSeconds(scenario.seconds()))) {
      return;
    }
    sent++;
    arrivals.addLast(now);
    Vm vm = vms.get(random.nextInt(vms.size()));
    vm.budget().request(now);
    vm.policy().recordRequest(SERVICE.name(), now);
    waiting.addLast(new Call(vm, now));
    startWaiting();
    at(millis(-Math.log(1 - random.nextDouble()) * 1_000 / scenario.ratePerSecond()), this::arrive);
  }

  private void startWaiting() {
    while (!waiting.isEmpty()) {
      List<ServerInstance> free =
          instances.stream()
              .filter(server -> loads.total(server.id()).runs() < scenario.slots())
              .toList();
      if (free.isEmpty()) {
        return;
      }
      Call call = waiting.removeFirst();
      send(call, free.get(random.nextInt(free.size())));
      if (scenario.extraShare() > 0) {
        call.vm
            .policy()
            .threshold("lookup", clock.instant())
            .ifPresent(threshold -> at(threshold, () -> considerSecond(call)));
      }
    }
  }

  private void send(Call call, ServerInstance server) {
    Try attempt = new Try(server, clock.instant());
    call.tries.add(attempt);
    loads.addRun(server.id(), 0);
    double factor = scenario.pace().factor(instances.indexOf(server), clock.instant());
    double tail = random.nextDouble() < scenario.tailShare() ? 8 : 1;
    double time = MEDIAN_MILLIS * Math.exp(SIGMA * random.nextGaussian()) * factor * tail;
    at(millis(time), () -> complete(call, attempt));
  }

  private void complete(Call call, Try winner) {
    if (call.isDone) {
      return;
    }
    Instant now = clock.instant();
    call.isDone = true;
    times.add((double) Duration.between(call.arrivedAt, now).toMillis());
    for (Try each : call.tries) {
      loads.removeRun(each.server().id(), 0);
      if (each == winner || each == call.tries.get(0)) {
        call.vm
            .policy()
            .recordResponse(
                "lookup", each.server().id(), Duration.between(each.sentAt(), now), now);
      }
    }
    startWaiting();
  }

  private void considerSecond(Call call) {
    if (call.isDone) {
      return;
    }
    Instant now = clock.instant();
    Try first = call.tries.get(0);
    SlowRequest request =
        new SlowRequest(
            "lookup",
            TARGET_LATENCY,
            new ServerSelector.Requirements(SERVICE, Set.of(), 0, Set.of(), sent),
            first.server(),
            Duration.between(first.sentAt(), now),
            TIMEOUT,
            Duration.ZERO,
            false,
            waiting.size(),
            call.vm.budget(),
            vms.size());
    switch (call.vm.policy().decide(request, now)) {
      case HedgeDecision.Send second -> {
        recordExtra(now);
        send(call, second.server());
      }
      case HedgeDecision.Wait later -> at(later.delay(), () -> considerSecond(call));
      case HedgeDecision.Denied no -> denied.merge(no.reason(), 1, Integer::sum);
    }
  }

  private void recordExtra(Instant now) {
    extras.addLast(now);
    extrasBySecond.merge(now.getEpochSecond(), 1, Integer::sum);
    Instant limit = now.minus(WINDOW);
    extras.removeIf(time -> time.isBefore(limit));
    while (arrivals.peekFirst() != null && arrivals.peekFirst().isBefore(limit)) {
      arrivals.removeFirst();
    }
    worstShare = Math.max(worstShare, (double) extras.size() / arrivals.size());
  }
}
