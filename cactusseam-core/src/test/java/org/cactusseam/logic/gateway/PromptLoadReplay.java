package org.cactusseam.logic.gateway;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Simulates the streams of large deployments in steps of 1 ms: VMs in two regions assign them to
 * engines that prefill prompts one after the other, and broadcast their loads over links with the
 * delays of those deployments.
 */
final class PromptLoadReplay {

  private static final int ENGINES = 31;
  private static final int DURATION_MILLIS = 20_000;
  private static final double STREAMS_PER_MILLI = 0.0369;
  private static final double LONG_STREAM_FRACTION = 0.47;
  private static final int LONG_STREAM_MILLIS = 7_500;
  private static final int SHORT_STREAM_MILLIS = 60;

  /** A step prefills 112 prompt tokens and takes 15 ms with a typical number of runs. */
  private static final double PREFILL_TOKENS_PER_MILLI = 112 / 15.0;

  private static final int TICK_MILLIS = 50;
  private static final int REGION_DELAY_MILLIS = 21;

  private final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final Random random;
  private final List<Vm> vms;
  private final Map<String, Deque<Stream>> prompts = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((one, other) -> Long.compare(one.atMillis, other.atMillis));
  private final List<Long> firstEventMillis = new ArrayList<>();

  private record Event(long atMillis, Runnable action) {}

  private final class Stream {
    private final Vm vm;
    private final boolean isLong;
    private final int prompt;
    private final int tokens;
    private final long arrivedMillis = clock.millis();
    private double pendingPrefill;
    private String engine = "";

    Stream(Vm vm) {
      this.vm = vm;
      this.isLong = random.nextDouble() < LONG_STREAM_FRACTION;
      this.prompt = isLong ? 3_000 : 2_500;
      this.tokens = isLong ? 3_750 : 2_510;
      this.pendingPrefill = prompt;
    }

    void dispatch() {
      ServerSelector.Requirements requirements =
          new ServerSelector.Requirements(
              GatewayFixtures.ENGINES, Set.of(), tokens, Set.of(), random.nextInt());
      engine = vm.selector.choose(requirements).orElseThrow().id();
      vm.loads.addRun(engine, tokens);
      vm.loads.startPrefill(engine, prompt);
      prompts.get(engine).add(this);
    }

    void finishPrefill() {
      firstEventMillis.add(clock.millis() - arrivedMillis);
      vm.loads.endPrefill(engine, prompt);
      schedule(
          isLong ? LONG_STREAM_MILLIS : SHORT_STREAM_MILLIS,
          () -> vm.loads.removeRun(engine, tokens));
    }
  }

  private final class Vm {
    private final int number;
    private final String region;
    private final ServerLoads loads = new ServerLoads();
    private final LoadBroadcastPolicy policy = new LoadBroadcastPolicy();
    private final ServerSelector selector;

    Vm(int number, ServerTable servers) {
      this.number = number;
      String domain = domain(number);
      this.region = domain.substring(0, 1);
      Map<String, String> regions = new HashMap<>();
      IntStream.range(0, 6)
          .forEach(each -> regions.put(domain(each), domain(each).substring(0, 1)));
      this.selector =
          new ServerSelector(
              clock,
              new ServerSelector.Location(domain, regions),
              servers,
              loads,
              new ServerPaces(),
              new ServerHealth(),
              new LeavingServers(),
              new EngineReports(),
              new ColdLimit.Tolerance(1.5, 5));
      loads.onPrefillChange(this::broadcastIfDue);
    }

    void broadcastIfDue() {
      Map<String, ServerLoads.ServerLoad> own = loads.own();
      if (policy.isDue(own, vms.size() - 1, clock.instant())) {
        policy.recordBroadcast(own, vms.size() - 1, clock.instant());
        for (Vm other : vms) {
          if (other != this) {
            int delay = other.region.equals(region) ? 1 : REGION_DELAY_MILLIS;
            schedule(delay, () -> other.loads.setPeerLoads("vm-" + number, own, clock.instant()));
          }
        }
      }
    }
  }

  PromptLoadReplay(int vmCount, long seed) {
    random = new Random(seed);
    ServerTable servers = new ServerTable();
    for (int number = 0; number < ENGINES; number++) {
      ServerInstance engine = GatewayFixtures.server("e-" + number, "engines", domain(number));
      servers.put(engine, Instant.EPOCH);
      prompts.put(engine.id(), new ArrayDeque<>());
    }
    clock.advance(60_000);
    vms = IntStream.range(0, vmCount).mapToObj(number -> new Vm(number, servers)).toList();
  }

  private static String domain(int number) {
    return (number % 2 == 0 ? "a" : "b") + number % 6;
  }

  private void schedule(long delayMillis, Runnable action) {
    events.add(new Event(clock.millis() + delayMillis, action));
  }

  /**
   * Runs the simulation and returns the time to the first event of each stream, in milliseconds.
   */
  List<Long> firstEventMillis() {
    long end = clock.millis() + DURATION_MILLIS;
    while (clock.millis() < end) {
      while (!events.isEmpty() && events.peek().atMillis <= clock.millis()) {
        events.poll().action.run();
      }
      if (random.nextDouble() < STREAMS_PER_MILLI) {
        new Stream(vms.get(random.nextInt(vms.size()))).dispatch();
      }
      prompts.values().forEach(this::prefillPrompts);
      for (Vm vm : vms) {
        if ((clock.millis() + vm.number) % TICK_MILLIS == 0) {
          vm.broadcastIfDue();
        }
      }
      clock.advance(1);
    }
    return firstEventMillis;
  }

  private void prefillPrompts(Deque<Stream> queue) {
    if (!queue.isEmpty()) {
      queue.peek().pendingPrefill -= PREFILL_TOKENS_PER_MILLI;
      if (queue.peek().pendingPrefill <= 0) {
        queue.poll().finishPrefill();
      }
    }
  }
}
