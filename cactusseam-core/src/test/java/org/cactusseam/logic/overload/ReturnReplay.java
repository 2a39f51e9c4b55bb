package org.cactusseam.logic.overload;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.cactusseam.logic.gateway.RequestQueue;

/**
 * Replays an overload of one service on a simulated clock: several gateways with a queue each share
 * the servers of three failure domains, and each rejected caller returns once, at any gateway.
 */
final class ReturnReplay {

  enum Load {
    USUAL,
    FLOOD_OF_ONE_ACCOUNT,
    SLOW_IN_WAVES,
    TWICE_IN_ONE_DOMAIN,
    DOMAIN_LEAVES
  }

  /** How long rejected callers are told to wait. */
  enum Returns {
    CONSTANT_800_MILLIS,
    /**
     * The middle of the times of the schedule: separates the effect of the delay from the spread.
     */
    CONSTANT_1650_MILLIS,
    SCHEDULED
  }

  record Result(
      int callers,
      int served,
      int servedAfterReturn,
      int rejections,
      int rejectedTwice,
      double meanMillisUntilRejection,
      int mostReturns,
      double lowestShareOfAccount) {}

  private static final int DOMAINS = 3;
  private static final int SLOTS_PER_DOMAIN = 6;
  private static final int WORK_MILLIS = 86;
  private static final int TARGET_MILLIS = 486;
  private static final int ACCOUNTS = 10;
  private static final int DURATION_MILLIS = 20_000;
  private static final int RETURN_BUCKET_MILLIS = 100;

  private final List<RequestQueue<Attempt>> queues = new ArrayList<>();
  private final List<ReturnSchedule> schedules = new ArrayList<>();
  private final List<Attempt> waiting = new ArrayList<>();
  private final List<Integer> order = new ArrayList<>();
  private final PriorityQueue<Run> runs = new PriorityQueue<>();
  private final PriorityQueue<Return> returns = new PriorityQueue<>();
  private final int[] running = new int[DOMAINS];
  private final int[] callersOf = new int[ACCOUNTS];
  private final int[] servedOf = new int[ACCOUNTS];
  private final int[] returnsIn = new int[2 * DURATION_MILLIS / RETURN_BUCKET_MILLIS];
  private final Random arrivals;
  private final Random random;
  private final Load load;
  private final Returns policy;
  private final int[] limits;
  private int servedAfterReturn;
  private int rejections;
  private int rejectedTwice;
  private long millisUntilRejections;

  private static final class Attempt {
    private final int account;
    private final long arrivedAt;
    private final long deadline;
    private final boolean isReturn;
    private final int gateway;
    private RequestQueue.Entry<Attempt> entry;
    private boolean isStarted;

    private Attempt(int account, long arrivedAt, long deadline, boolean isReturn, int gateway) {
      this.account = account;
      this.arrivedAt = arrivedAt;
      this.deadline = deadline;
      this.isReturn = isReturn;
      this.gateway = gateway;
    }

    /** The rule of {@code Exchange.maximumQueueTime}. */
    private long waitsUntil() {
      long remaining = deadline - arrivedAt;
      return arrivedAt
          + Math.min(remaining, (long) Math.max(0.6 * TARGET_MILLIS, 0.25 * remaining));
    }
  }

  private record Run(long endsAt, int domain, int gateway) implements Comparable<Run> {
    @Override
    public int compareTo(Run other) {
      return Long.compare(endsAt, other.endsAt);
    }
  }

  private record Return(long at, Attempt rejected) implements Comparable<Return> {
    @Override
    public int compareTo(Return other) {
      return Long.compare(at, other.at);
    }
  }

  /**
   * Creates a replay.
   *
   * @param limits time limits of callers in ms, each equally likely
   */
  ReturnReplay(Load load, int gateways, Returns policy, long seed, int... limits) {
    this.load = load;
    this.policy = policy;
    this.limits = limits;
    this.arrivals = new Random(seed);
    this.random = new Random(-seed);
    for (int gateway = 0; gateway < gateways; gateway++) {
      queues.add(new RequestQueue<>());
      schedules.add(new ReturnSchedule(Instant.EPOCH, random.nextDouble()));
      order.add(gateway);
    }
  }

  Result run() {
    for (long now = 0; now < DURATION_MILLIS || !waiting.isEmpty() || !returns.isEmpty(); now++) {
      if (now < DURATION_MILLIS) {
        arrive(now);
      }
      while (!returns.isEmpty() && returns.element().at() <= now) {
        Attempt rejected = returns.remove().rejected();
        returnsIn[(int) (now / RETURN_BUCKET_MILLIS)]++;
        enqueue(rejected.account, rejected.deadline, true, random.nextInt(queues.size()), now);
      }
      while (!runs.isEmpty() && runs.element().endsAt() <= now) {
        Run ended = runs.remove();
        running[ended.domain()]--;
        startWaiting(ended.gateway(), now);
      }
      startAll(now);
      reject(now);
    }
    return result();
  }

  /** The gateway that notices a free slot first is any of them. */
  private void startAll(long now) {
    if (!waiting.isEmpty() && hasFreeSlot(now)) {
      Collections.shuffle(order, random);
      order.forEach(gateway -> startWaiting(gateway, now));
    }
  }

  private boolean hasFreeSlot(long now) {
    return IntStream.range(0, DOMAINS).anyMatch(domain -> isFree(domain, now));
  }

  private boolean isFree(int domain, long now) {
    boolean hasLeft = load == Load.DOMAIN_LEAVES && domain == 0 && now >= DURATION_MILLIS / 4;
    return !hasLeft && running[domain] < SLOTS_PER_DOMAIN;
  }

  private void arrive(long now) {
    double usual = load == Load.USUAL || load == Load.FLOOD_OF_ONE_ACCOUNT ? 0.6 : 0.8;
    double perMilli = usual * DOMAINS * SLOTS_PER_DOMAIN / WORK_MILLIS / ACCOUNTS / DOMAINS;
    for (int account = 0; account < ACCOUNTS; account++) {
      for (int domain = 0; domain < DOMAINS; domain++) {
        boolean isFlood = load == Load.FLOOD_OF_ONE_ACCOUNT && account == 0;
        boolean isDoubled = load == Load.TWICE_IN_ONE_DOMAIN && domain == 0;
        if (arrivals.nextDouble() < perMilli * (isFlood ? 8 : isDoubled ? 2 : 1)) {
          int limit = limits[arrivals.nextInt(limits.length)];
          int gateway = arrivals.nextInt(queues.size() / DOMAINS) * DOMAINS + domain;
          callersOf[account]++;
          enqueue(account, now + limit, false, gateway, now);
        }
      }
    }
  }

  private void enqueue(int account, long deadline, boolean isReturn, int gateway, long now) {
    Attempt attempt = new Attempt(account, now, deadline, isReturn, gateway);
    Instant onTimeUntil = Instant.ofEpochMilli(now + TARGET_MILLIS);
    attempt.entry =
        queues
            .get(gateway)
            .add(new RequestQueue.Claim(1, "account-" + account, 1, onTimeUntil), attempt);
    waiting.add(attempt);
  }

  private void startWaiting(int gateway, long now) {
    if (queues.get(gateway).size() > 0) {
      queues.get(gateway).startWaiting(Instant.ofEpochMilli(now), each -> start(each, now));
    }
  }

  private boolean start(Attempt attempt, long now) {
    for (int i = 0; i < DOMAINS; i++) {
      int domain = (attempt.gateway + i) % DOMAINS;
      if (isFree(domain, now)) {
        boolean isSlow = load == Load.SLOW_IN_WAVES && now % 4_000 >= 2_000;
        running[domain]++;
        runs.add(new Run(now + WORK_MILLIS * (isSlow ? 3 : 1), domain, attempt.gateway));
        schedules.get(attempt.gateway).recordStart(Instant.ofEpochMilli(now));
        servedOf[attempt.account]++;
        servedAfterReturn += attempt.isReturn ? 1 : 0;
        attempt.isStarted = true;
        return true;
      }
    }
    return false;
  }

  private void reject(long now) {
    waiting.removeIf(each -> each.isStarted);
    for (Attempt attempt : List.copyOf(waiting)) {
      if (now >= attempt.waitsUntil()) {
        waiting.remove(attempt);
        queues.get(attempt.gateway).remove(attempt.entry);
        rejections++;
        millisUntilRejections += now - attempt.arrivedAt;
        if (attempt.isReturn) {
          rejectedTwice++;
        } else {
          returns.add(new Return(now + returnMillis(attempt, now), attempt));
        }
      }
    }
  }

  private long returnMillis(Attempt attempt, long now) {
    Duration remaining = Duration.ofMillis(attempt.deadline - now);
    long told =
        switch (policy) {
          case CONSTANT_800_MILLIS -> 800;
          case CONSTANT_1650_MILLIS -> 1_650;
          case SCHEDULED ->
              schedules
                  .get(attempt.gateway)
                  .assign(queues.get(attempt.gateway).size(), remaining, Instant.ofEpochMilli(now))
                  .delay()
                  .toMillis();
        };
    return Math.min(told, remaining.toMillis() / 3);
  }

  private Result result() {
    double lowestShare = 1;
    for (int account = 1; account < ACCOUNTS; account++) {
      lowestShare = Math.min(lowestShare, servedOf[account] / (double) callersOf[account]);
    }
    return new Result(
        Arrays.stream(callersOf).sum(),
        Arrays.stream(servedOf).sum(),
        servedAfterReturn,
        rejections,
        rejectedTwice,
        rejections == 0 ? 0 : millisUntilRejections / (double) rejections,
        Arrays.stream(returnsIn).max().orElse(0),
        lowestShare);
  }

  /** Prints the table of docs/design/overload.md, averages over seeds 1 to 12. */
  public static void main(String[] arguments) {
    for (int[] limits : new int[][] {{2_000, 4_000, 10_000}, {4_000}, {10_000}}) {
      for (Load load : Load.values()) {
        for (int gateways : new int[] {6, 126}) {
          for (Returns policy : Returns.values()) {
            List<Result> results =
                IntStream.rangeClosed(1, 12)
                    .mapToObj(seed -> new ReturnReplay(load, gateways, policy, seed, limits).run())
                    .toList();
            System.out.printf(
                Locale.ROOT,
                "| %s | %s | %d | %s | %.2f | %.0f | %.0f | %.0f | %.0f | %.1f | %.3f |%n",
                Arrays.toString(limits),
                load,
                gateways,
                policy,
                mean(results, each -> 100.0 * each.served() / each.callers()),
                mean(results, Result::servedAfterReturn),
                mean(results, Result::rejections),
                mean(results, Result::rejectedTwice),
                mean(results, Result::meanMillisUntilRejection),
                mean(results, Result::mostReturns),
                mean(results, Result::lowestShareOfAccount));
          }
        }
      }
    }
  }

  private static double mean(List<Result> results, ToDoubleFunction<Result> measure) {
    return results.stream().mapToDouble(measure).average().orElseThrow();
  }
}
