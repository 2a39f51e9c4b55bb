package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Replays requests of ten accounts to two gateways in different failure domains, which share the
 * slots of a service. Refused callers retry once, at the time that they are told.
 */
final class OverloadReplay {

  private static final int SLOTS = 12;
  private static final int WORK_MILLIS = 86;
  private static final int MAX_WAIT_MILLIS = 1_000;
  private static final int ACCOUNTS = 10;
  private static final int DURATION_MILLIS = 30_000;
  private static final int TARGET_MILLIS = 486;
  private static final int STEP_MILLIS = 100;
  private static final int WAVE_MILLIS = 2_000;
  private static final double USUAL_LOAD = 0.6;

  /** Load of the service. */
  enum Load {
    /** The usual amount, which fills 60 % of the service. */
    USUAL,
    /** One account sends 8 times its usual amount. */
    FLOOD,
    /** Servers are at a third of their pace for half of the time, in waves. */
    WAVES,
    /**
     * Twice the traffic in one of two failure domains, and usual traffic of 80 % of the service.
     */
    DOMAIN
  }

  /** Results. */
  static final class Result {
    private int requests;
    private int started;
    private int othersStarted;
    private int others;
    private int refused;
    private long refusalMillis;
    private final int[] returnsPerStep = new int[DURATION_MILLIS / STEP_MILLIS + 1];

    int refused() {
      return refused;
    }

    /** Returns the share of callers that were served, at once or when they came back. */
    double startedShare() {
      return started / (double) requests;
    }

    double othersStartedShare() {
      return othersStarted / (double) others;
    }

    int mostReturnsInOneStep() {
      return Arrays.stream(returnsPerStep).max().orElse(0);
    }

    double meanRefusalMillis() {
      return refused == 0 ? 0 : refusalMillis / (double) refused;
    }
  }

  private static final class Waiting {
    private final int account;
    private final long arrivedMillis;
    private final boolean returned;
    private RequestQueue.@Nullable Entry<Waiting> entry;

    Waiting(int account, long arrivedMillis, boolean returned) {
      this.account = account;
      this.arrivedMillis = arrivedMillis;
      this.returned = returned;
    }
  }

  private record Return(long atMillis, int gateway, int account) {}

  private static final class GatewayQueue {
    private final RequestQueue<Waiting> queue = new RequestQueue<>();
    private final Set<Waiting> waiting = new LinkedHashSet<>();
  }

  private final Load load;
  private final boolean early;
  private final Random random;
  private final List<GatewayQueue> gateways = List.of(new GatewayQueue(), new GatewayQueue());
  private final PriorityQueue<Long> ends = new PriorityQueue<>();
  private final PriorityQueue<Return> returns =
      new PriorityQueue<>((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
  private final Result result = new Result();

  OverloadReplay(Load load, boolean early, long seed) {
    this.load = load;
    this.random = new Random(seed);
    this.early = early;
  }

  Result run() {
    for (long now = 0; now < DURATION_MILLIS; now++) {
      while (!ends.isEmpty() && ends.peek() <= now) {
        ends.poll();
      }
      while (!returns.isEmpty() && returns.peek().atMillis() <= now) {
        Return each = returns.poll();
        result.returnsPerStep[(int) now / STEP_MILLIS]++;
        add(each.gateway(), new Waiting(each.account(), now, true));
      }
      for (int gateway = 0; gateway < gateways.size(); gateway++) {
        arrive(gateway, now);
      }
      int first = (int) (now % gateways.size());
      serve(first, now);
      serve(gateways.size() - 1 - first, now);
    }
    return result;
  }

  private void arrive(int gateway, long now) {
    double usual = (load == Load.DOMAIN ? 0.8 : USUAL_LOAD) * SLOTS / WORK_MILLIS;
    double domain = load == Load.DOMAIN && gateway == 0 ? 2 : 1;
    for (int account = 0; account < ACCOUNTS; account++) {
      double flood = load == Load.FLOOD && account == 0 ? 8 : 1;
      if (random.nextDouble() < usual * domain * flood / gateways.size() / ACCOUNTS) {
        result.requests++;
        result.others += account == 0 ? 0 : 1;
        add(gateway, new Waiting(account, now, false));
      }
    }
  }

  private void add(int gateway, Waiting waiting) {
    GatewayQueue target = gateways.get(gateway);
    RequestQueue.Claim claim =
        new RequestQueue.Claim(
            1,
            "account-" + waiting.account,
            1,
            Instant.ofEpochMilli(waiting.arrivedMillis + TARGET_MILLIS));
    waiting.entry = target.queue.add(claim, waiting);
    target.waiting.add(waiting);
  }

  private void serve(int number, long now) {
    GatewayQueue gateway = gateways.get(number);
    Instant instant = Instant.ofEpochMilli(now);
    List.copyOf(gateway.waiting).stream()
        .filter(waiting -> timeLeft(waiting, now).isZero())
        .forEach(waiting -> refuse(number, waiting, now));
    gateway.queue.startWaiting(instant, waiting -> start(gateway, waiting, now));
    if (early) {
      gateway
          .queue
          .findTooLate(instant, waiting -> timeLeft(waiting, now))
          .forEach(waiting -> refuse(number, waiting, now));
    }
  }

  private static Duration timeLeft(Waiting waiting, long now) {
    return Duration.ofMillis(Math.max(0, waiting.arrivedMillis + MAX_WAIT_MILLIS - now));
  }

  private boolean start(GatewayQueue gateway, Waiting waiting, long now) {
    if (ends.size() >= SLOTS) {
      return false;
    }
    boolean isSlow = load == Load.WAVES && now / WAVE_MILLIS % 2 == 1;
    ends.add(now + (isSlow ? 3 * WORK_MILLIS : WORK_MILLIS));
    gateway.waiting.remove(waiting);
    result.started++;
    result.othersStarted += waiting.account == 0 ? 0 : 1;
    return true;
  }

  private void refuse(int number, Waiting waiting, long now) {
    GatewayQueue gateway = gateways.get(number);
    gateway.waiting.remove(waiting);
    gateway.queue.remove(Objects.requireNonNull(waiting.entry));
    result.refused++;
    result.refusalMillis += now - waiting.arrivedMillis;
    Duration retryAfter =
        early
            ? gateway.queue.takeRetryAfter(Instant.ofEpochMilli(now))
            : QueueForecast.DEFAULT_RETRY_AFTER;
    if (!waiting.returned) {
      returns.add(new Return(now + retryAfter.toMillis(), number, waiting.account));
    }
  }
}
