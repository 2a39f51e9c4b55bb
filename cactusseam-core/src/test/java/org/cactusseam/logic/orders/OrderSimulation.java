package org.cactusseam.logic.orders;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.OrderOutcome;
import org.cactusseam.model.control.OrderRecord;
import org.cactusseam.model.control.ServerOrder;

/** Simulates two owners, a backend server and a log, under the faults of a test case. */
final class OrderSimulation {

  enum Fault {
    NONE,
    LOST_ANSWER,
    LOST_ORDER,
    DELAYED_ORDER,
    SERVER_REFUSES,
    SERVER_RESTARTS,
    SLOW_ORDER,
    STALE_REPORT,
    LOST_APPEND,
    LATE_APPEND,
    LOG_OUTAGE,
    TOKEN_LOST,
    OWNER_KILLED,
    OWNER_PAUSED_BEFORE_SEND,
    TAKEOVER
  }

  static final Duration INTERVAL = Duration.ofSeconds(3);
  private static final Duration STEP = Duration.ofMillis(50);
  private static final Duration TAKEOVER_WAIT = Duration.ofMillis(4_500);
  private static final BackendServerName SERVER = new BackendServerName("engine");

  /**
   * Execution time of a slow order, longer than an owner waits before it may send the order again.
   */
  private static final Duration SLOW_ORDER_DURATION = Duration.ofSeconds(8);

  private record Event(Instant at, int owner, Runnable effect) {}

  /** State that the server reports from a given time on. */
  private record Report(Instant since, String incarnation, Map<Long, Instant> doneAt) {}

  final PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
  final List<String> violations = new ArrayList<>();
  final Map<Long, Integer> effects = new HashMap<>();
  final List<Instant> sends = new ArrayList<>();
  OrderView orderView = OrderView.EMPTY;
  private final Set<Fault> faults;
  private final Random random;
  private final boolean checksFencing;
  private final List<Event> events = new ArrayList<>();
  private final Set<Fault> occurredFaults = new HashSet<>();
  private final Map<Long, Instant> doneAt = new HashMap<>();
  private final List<Report> reports = new ArrayList<>();
  private final Duration reportAge;
  private final OrderExecutor[] executors = new OrderExecutor[2];
  private final Instant[] pausedUntil = {Instant.MIN, Instant.MIN};
  private final StoreRateLimiter limiter = new StoreRateLimiter(clock, INTERVAL);
  private long highestNumber = -1;
  private long nextOffset;
  private int incarnation;
  private int owner;
  private int bootCount;
  private boolean logAvailable = true;
  private Instant leaseEnd = Instant.MAX;

  OrderSimulation(Set<Fault> faults, boolean checksFencing, long seed) {
    this.faults = new HashSet<>(faults);
    this.checksFencing = checksFencing;
    this.random = new Random(seed * 0x9E3779B97F4A7C15L);
    this.reportAge = Duration.ofMillis(500 + random.nextInt(5000));
    recordReport();
    limiter.setHeld(true);
    restart(0);
    restart(1);
    executors[0].addServer(SERVER, checksFencing);
  }

  private void restart(int index) {
    String boot = "boot" + ++bootCount;
    executors[index] = new OrderExecutor(new NodeName("vm" + index), boot, clock);
    events.removeIf(event -> event.owner == index);
  }

  void issue(int number) {
    ServerOrder order = new ServerOrder(ServerOrder.Kind.LOAD_MODEL, "model" + number);
    apply(new OrderRecord.Issued("command" + number, SERVER, order, "operator"));
  }

  private void apply(OrderRecord orderRecord) {
    orderView = orderView.apply(nextOffset++, orderRecord).orElse(orderView);
    for (int index = 0; index < 2; index++) {
      OrderExecutor executor = executors[index];
      after(index, random.nextInt(100), () -> executor.ordersChanged(orderView));
    }
  }

  private void after(int index, int millis, Runnable effect) {
    events.add(new Event(clock.instant().plusMillis(millis), index, effect));
  }

  private boolean occursOnce(Fault fault) {
    return faults.contains(fault) && random.nextInt(2) == 0 && occurredFaults.add(fault);
  }

  private boolean occurs(Fault fault) {
    return faults.contains(fault) && random.nextInt(2) == 0;
  }

  void run(Duration duration) {
    Instant end = clock.instant().plus(duration);
    while (clock.instant().isBefore(end)) {
      step();
    }
  }

  private void step() {
    clock.advance(STEP);
    Instant now = clock.instant();
    logAvailable = !faults.contains(Fault.LOG_OUTAGE) || (now.getEpochSecond() / 7) % 2 == 0;
    if (random.nextInt(100) == 0 && occursOnce(Fault.SERVER_RESTARTS)) {
      incarnation++;
      doneAt.clear();
      recordReport();
    }
    if (random.nextInt(100) == 0 && occursOnce(Fault.TAKEOVER)) {
      takeOver();
    }
    List<Event> due = events.stream().filter(event -> isDue(event, now)).toList();
    events.removeAll(due);
    due.forEach(event -> event.effect.run());
    grantTokens();
    for (int index = 0; index < 2; index++) {
      if (!now.isBefore(pausedUntil[index])) {
        executors[index].tick();
        perform(index);
      }
    }
  }

  private boolean isDue(Event event, Instant now) {
    boolean paused = event.owner >= 0 && now.isBefore(pausedUntil[event.owner]);
    return !paused && !event.at.isAfter(now);
  }

  /**
   * Schedules the other daemon to become the owner when the lease of the current owner has expired.
   */
  private void takeOver() {
    int former = owner;
    int next = 1 - owner;
    leaseEnd = clock.instant().plus(TAKEOVER_WAIT).minusMillis(500);
    OrderExecutor old = executors[former];
    after(former, (int) TAKEOVER_WAIT.minusMillis(500).toMillis(), () -> old.removeServer(SERVER));
    after(-1, (int) TAKEOVER_WAIT.toMillis(), () -> makeOwner(next));
  }

  private void makeOwner(int next) {
    owner = next;
    leaseEnd = Instant.MAX;
    executors[next].ordersChanged(orderView);
    executors[next].addServer(SERVER, checksFencing);
  }

  private void grantTokens() {
    for (long order : limiter.grant()) {
      if (!occurs(Fault.TOKEN_LOST)) {
        OrderExecutor executor = executors[owner];
        after(owner, 50, () -> executor.tokenGranted(order));
      }
    }
  }

  private void perform(int index) {
    OrderExecutor executor = executors[index];
    for (OrderAction action : executor.drain()) {
      switch (action) {
        case OrderAction.ReadState read -> readState(index, executor, read);
        case OrderAction.RequestToken ask -> limiter.request(ask.order());
        case OrderAction.Append append -> append(append.orderRecord());
        case OrderAction.Send send -> send(index, executor, send);
      }
    }
  }

  private void recordReport() {
    reports.add(new Report(clock.instant(), "run" + incarnation, Map.copyOf(doneAt)));
  }

  private void readState(int index, OrderExecutor executor, OrderAction.ReadState read) {
    Instant askedAt = clock.instant();
    after(
        index,
        50,
        () -> {
          Duration age = faults.contains(Fault.STALE_REPORT) ? reportAge : Duration.ZERO;
          Instant takenAt = clock.instant().minus(age);
          Report report = reportAt(takenAt);
          executor.stateRead(
              read.order(),
              askedAt.minus(age),
              report.incarnation,
              state(report, read.order(), takenAt));
        });
  }

  private Report reportAt(Instant time) {
    return reports.reversed().stream()
        .filter(report -> !report.since.isAfter(time))
        .findFirst()
        .orElse(reports.getFirst());
  }

  private static OrderState state(Report report, long order, Instant takenAt) {
    Instant done = report.doneAt.get(order);
    if (done == null) {
      return OrderState.ABSENT;
    }
    return takenAt.isBefore(done) ? OrderState.IN_PROGRESS : OrderState.DONE;
  }

  private void append(OrderRecord orderRecord) {
    if (!logAvailable || occurs(Fault.LOST_APPEND)) {
      return;
    }
    int delay = occurs(Fault.LATE_APPEND) ? 500 + random.nextInt(8000) : 20;
    after(-1, delay, () -> apply(orderRecord));
  }

  private void send(int index, OrderExecutor executor, OrderAction.Send send) {
    if (occursOnce(Fault.OWNER_KILLED)) {
      restart(index);
      takeOver();
      return;
    }
    if (occursOnce(Fault.OWNER_PAUSED_BEFORE_SEND)) {
      pausedUntil[index] = clock.instant().plusMillis(500 + random.nextInt(9000));
      takeOver();
    }
    after(index, random.nextInt(60), () -> begin(index, executor, send));
  }

  private void begin(int index, OrderExecutor executor, OrderAction.Send send) {
    boolean leaseValid = index == owner && clock.instant().isBefore(leaseEnd);
    if (!executor.tryStart(send.order(), leaseValid)) {
      return;
    }
    check(!clock.instant().isAfter(send.until()), "sent late");
    check(orderView.find(send.order()).orElseThrow().start().isPresent(), "sent without a record");
    sends.add(clock.instant());
    if (occurs(Fault.LOST_ORDER)) {
      after(index, 1000, () -> executor.responseLost(send.order()));
      return;
    }
    boolean delayed = occurs(Fault.DELAYED_ORDER);
    String target = "run" + incarnation;
    int delay = delayed ? 1000 + random.nextInt(3500) : 10;
    after(-1, delay, () -> receive(index, executor, send.order(), target));
  }

  private void receive(int index, OrderExecutor executor, long order, String target) {
    if (!target.equals("run" + incarnation)) {
      after(index, 10, () -> executor.responseLost(order));
      return;
    }
    OrderResponse response = execute(order);
    if (occurs(Fault.LOST_ANSWER)) {
      after(index, 1000, () -> executor.responseLost(order));
    } else {
      after(index, 10, () -> executor.responseReceived(order, response, Optional.of(target)));
    }
    if (occursOnce(Fault.OWNER_KILLED)) {
      restart(index);
      takeOver();
    }
  }

  private OrderResponse execute(long order) {
    if (faults.contains(Fault.SERVER_REFUSES)) {
      return OrderResponse.REFUSED;
    }
    if (checksFencing && order < highestNumber) {
      return OrderResponse.STALE_NUMBER;
    }
    if (checksFencing && order == highestNumber && doneAt.containsKey(order)) {
      return OrderResponse.ACCEPTED;
    }
    highestNumber = order;
    check(!doneAt.containsKey(order), "executed twice by one run of the server: " + order);
    Duration time = faults.contains(Fault.SLOW_ORDER) ? SLOW_ORDER_DURATION : Duration.ofSeconds(2);
    doneAt.put(order, clock.instant().plus(time));
    recordReport();
    effects.merge(order, 1, Integer::sum);
    return OrderResponse.ACCEPTED;
  }

  private void check(boolean holds, String violation) {
    if (!holds) {
      violations.add(violation);
    }
  }

  void clearFaults() {
    faults.clear();
  }

  boolean areAllOrdersEnded() {
    return orderView.entries().stream().allMatch(entry -> entry.outcome().isPresent());
  }

  boolean areDoneOrdersExecuted() {
    return orderView.entries().stream()
        .filter(entry -> entry.outcome().equals(Optional.of(OrderOutcome.DONE)))
        .allMatch(entry -> effects.containsKey(entry.offset()));
  }
}
