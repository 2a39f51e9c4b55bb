package org.cactusseam.logic.orders;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.OrderOutcome;
import org.cactusseam.model.control.OrderRecord;

/**
 * Executes the orders to the backend servers of the shards that a node owns.
 *
 * <p>For each order the node reads the state of the server before anything else. If the state does
 * not show the order, it gets a token, records that it is about to send, reads that record back and
 * sends. After a lost answer it starts again with the state. An order that the state shows as in
 * progress is waited for. A server that ignores fencing numbers could still receive an earlier send
 * that a link delayed, so "absent" counts there only if the state is from {@link
 * #DELAYED_WRITE_LIMIT} after the last moment at which anyone may have sent; a link that delays a
 * write for longer can make such a server run an order twice. "Absent" of a server that does not
 * list its orders in progress never counts after a possible send, because it may still work on the
 * order.
 *
 * <p>An order in progress ends with the run of the server. If a later run does not show it, it is
 * sent again. States may be stale: one from before the last send says nothing about it, and the run
 * that received an order is the one that answered it or showed it, not the one that an earlier
 * state named.
 *
 * <p>A paused node: its right to send ends {@link #SEND_RIGHT} after it read its record back, and
 * {@link #tryStart} also needs a valid lease. Its successor takes over only when that lease is
 * over.
 *
 * <p>When a server is removed, the log ends its orders. An order that may be under way is followed
 * without being sent again, so that its result still shows; see {@link OrderView#serverRemoved}.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class OrderExecutor {

  /** Time for which an order may be sent after its {@code Started} was read. */
  public static final Duration SEND_RIGHT = Duration.ofSeconds(1);

  /** Longest delay of a write to a backend server that is expected of a stalled link. */
  public static final Duration DELAYED_WRITE_LIMIT = Duration.ofSeconds(5);

  /** Time after which a question or an append without effect is repeated. */
  private static final Duration REPEAT = Duration.ofSeconds(2);

  /**
   * Validity of a token from when it was asked for, so that a paused holder grants nothing late.
   */
  private static final Duration TOKEN_VALIDITY = Duration.ofSeconds(5);

  /** Time for a server to show the result, for example to load a large model. */
  private static final Duration RESULT_LIMIT = Duration.ofMinutes(30);

  private enum Phase {
    CHECKING,
    AWAITING_TOKEN,
    AWAITING_START,
    ENTITLED,
    SENT,
    WATCHING,
    ENDING
  }

  private static final Set<Phase> PHASES_BEFORE_A_SEND =
      EnumSet.of(Phase.AWAITING_TOKEN, Phase.AWAITING_START, Phase.ENTITLED);

  private static final class Job {
    private final OrderView.Entry entry;
    private final Instant created;
    private Phase phase = Phase.CHECKING;
    private Instant repeatAt = Instant.MIN;
    private Instant limit = Instant.MAX;
    private Instant maySentUntil;
    private boolean everSent;
    private long attempt;
    private Optional<String> sentTo = Optional.empty();
    private OrderOutcome outcome = OrderOutcome.FAILED;

    private Job(OrderView.Entry entry, Instant created) {
      this.entry = entry;
      this.created = created;
      this.everSent = entry.start().isPresent();
      this.maySentUntil = created;
    }
  }

  private record Owned(boolean checksFencing) {}

  private final NodeName node;
  private final String boot;
  private final Clock clock;
  private final Map<BackendServerName, Owned> owned = new LinkedHashMap<>();
  private final Map<BackendServerName, Job> jobs = new LinkedHashMap<>();

  /** Orders to removed servers that may be under way, by offset. */
  private final Map<Long, Job> followed = new LinkedHashMap<>();

  private final List<OrderAction> actions = new ArrayList<>();
  private OrderView orderView = OrderView.EMPTY;
  private long attempts;

  /**
   * Creates an executor that owns nothing.
   *
   * @param node this node
   * @param boot identity of this run
   * @param clock source of time
   */
  public OrderExecutor(NodeName node, String boot, Clock clock) {
    this.node = node;
    this.boot = boot;
    this.clock = clock;
  }

  /**
   * Takes over a backend server, once the wait for the lease of its former owner is over.
   *
   * @param server backend server
   * @param checksFencing whether it rejects an old fencing number and ignores a repeated one
   */
  public void addServer(BackendServerName server, boolean checksFencing) {
    owned.put(server, new Owned(checksFencing));
    advance();
  }

  /**
   * Gives up a backend server: the lease is over or the shard was handed over.
   *
   * @param server backend server
   */
  public void removeServer(BackendServerName server) {
    owned.remove(server);
    jobs.remove(server);
  }

  /**
   * Notes the orders after a control record was applied.
   *
   * @param newOrderView view of the orders
   */
  public void ordersChanged(OrderView newOrderView) {
    orderView = newOrderView;
    advance();
  }

  /** Lets time pass: repeats questions and appends that had no effect. */
  public void tick() {
    advance();
  }

  private void advance() {
    follow();
    for (BackendServerName server : owned.keySet()) {
      Optional<OrderView.Entry> next = orderView.next(server);
      Job job = jobs.get(server);
      boolean current =
          job != null && next.isPresent() && next.get().offset() == job.entry.offset();
      if (!current) {
        jobs.remove(server);
        next.ifPresent(entry -> jobs.put(server, new Job(entry, clock.instant())));
      }
    }
    jobs.values().forEach(this::advance);
    followed.values().forEach(this::advance);
  }

  private void follow() {
    if (jobs.isEmpty() && followed.isEmpty()) {
      return;
    }
    jobs.values().stream()
        .filter(job -> awaitsResultOnly(job.entry.offset()))
        .forEach(job -> followed.put(job.entry.offset(), job));
    jobs.values().removeAll(followed.values());
    Instant limit = clock.instant().minus(RESULT_LIMIT);
    followed
        .values()
        .removeIf(job -> !awaitsResultOnly(job.entry.offset()) || !job.created.isAfter(limit));
    followed.values().stream()
        .filter(job -> PHASES_BEFORE_A_SEND.contains(job.phase))
        .forEach(this::check);
  }

  /**
   * Tells whether the server of an order was removed and only its result is awaited.
   *
   * @param order offset of the order
   * @return true if it is
   */
  public boolean awaitsResultOnly(long order) {
    return orderView.find(order).filter(OrderView.Entry::awaitsResultOnly).isPresent();
  }

  /**
   * Returns the orders that this executor works on.
   *
   * @return offsets
   */
  public Set<Long> orders() {
    Set<Long> orders = new HashSet<>(followed.keySet());
    jobs.values().forEach(job -> orders.add(job.entry.offset()));
    return orders;
  }

  private void advance(Job job) {
    Instant now = clock.instant();
    if (job.phase == Phase.AWAITING_START && isStarted(job)) {
      entitle(job);
    }
    boolean overdue = !now.isBefore(job.limit);
    if (overdue && (job.phase == Phase.AWAITING_START || job.phase == Phase.ENTITLED)) {
      check(job);
    }
    if (overdue && job.phase == Phase.SENT) {
      lose(job);
    }
    boolean watching = job.phase == Phase.CHECKING || job.phase == Phase.WATCHING;
    if (watching && !now.isBefore(job.created.plus(RESULT_LIMIT))) {
      end(job, OrderOutcome.FAILED);
    }
    if (!now.isBefore(job.repeatAt)) {
      repeat(job, now);
    }
  }

  private boolean isStarted(Job job) {
    OrderView.Start mine = new OrderView.Start(node, boot, job.attempt);
    return orderView
        .find(job.entry.offset())
        .flatMap(OrderView.Entry::start)
        .equals(Optional.of(mine));
  }

  private void repeat(Job job, Instant now) {
    long order = job.entry.offset();
    job.repeatAt = now.plus(REPEAT);
    switch (job.phase) {
      case CHECKING, WATCHING ->
          actions.add(new OrderAction.ReadState(job.entry.server(), order, job.entry.order()));
      case AWAITING_TOKEN -> {
        job.limit = now.plus(TOKEN_VALIDITY);
        actions.add(new OrderAction.AskToken(order));
      }
      case AWAITING_START ->
          actions.add(
              new OrderAction.Append(new OrderRecord.Started(order, node, boot, job.attempt)));
      case ENDING -> actions.add(new OrderAction.Append(new OrderRecord.Ended(order, job.outcome)));
      default -> {} // a right to send and a sent order have their own limits
    }
  }

  private void enter(Job job, Phase phase) {
    job.phase = phase;
    job.repeatAt = Instant.MIN;
    job.limit = Instant.MAX;
  }

  private void check(Job job) {
    enter(job, Phase.CHECKING);
  }

  private void lose(Job job) {
    job.maySentUntil = clock.instant();
    check(job);
  }

  private void end(Job job, OrderOutcome outcome) {
    job.outcome = outcome;
    enter(job, Phase.ENDING);
  }

  /**
   * Notes the state of a backend server.
   *
   * @param order offset of the order that the state is about
   * @param asOf time before which the state was certainly not taken: when the question was sent,
   *     less the age that the server states
   * @param incarnation run of the server
   * @param state what it says of the order
   */
  public void stateRead(long order, Instant asOf, String incarnation, OrderState state) {
    find(order)
        .filter(job -> job.phase == Phase.CHECKING || job.phase == Phase.WATCHING)
        .ifPresent(job -> judge(job, asOf, incarnation, state));
    advance();
  }

  private void judge(Job job, Instant asOf, String incarnation, OrderState state) {
    switch (state) {
      case DONE -> end(job, OrderOutcome.DONE);
      case IN_PROGRESS -> {
        if (job.phase == Phase.CHECKING) {
          watch(job, Optional.of(incarnation));
        }
      }
      default -> { // absent or unlisted
        if (maySend(job, asOf, incarnation, state)) {
          enter(job, Phase.AWAITING_TOKEN);
        }
      }
    }
  }

  /** Waits for the result of an order that a run of the server has. */
  private void watch(Job job, Optional<String> incarnation) {
    job.sentTo = incarnation;
    enter(job, Phase.WATCHING);
  }

  /** Tells whether an order that the state does not show is certainly not under way. */
  private boolean maySend(Job job, Instant asOf, String incarnation, OrderState state) {
    if (followed.containsKey(job.entry.offset())) {
      return false;
    }
    boolean settled = !asOf.isBefore(job.maySentUntil.plus(DELAYED_WRITE_LIMIT));
    if (job.phase == Phase.WATCHING) {
      boolean restarted = job.sentTo.isPresent() && !job.sentTo.get().equals(incarnation);
      return restarted && settled;
    }
    boolean listed = state == OrderState.ABSENT;
    return !job.everSent || checksFencing(job) || (settled && listed);
  }

  private boolean checksFencing(Job job) {
    Owned server = owned.get(job.entry.server());
    return server != null && server.checksFencing();
  }

  /**
   * Notes a token.
   *
   * @param order offset of the order
   */
  public void tokenGranted(long order) {
    Instant now = clock.instant();
    find(order)
        .filter(job -> job.phase == Phase.AWAITING_TOKEN && now.isBefore(job.limit))
        .ifPresent(this::announce);
    advance();
  }

  private void announce(Job job) {
    Instant limit = job.limit;
    enter(job, Phase.AWAITING_START);
    job.limit = limit;
    job.attempt = ++attempts;
  }

  private void entitle(Job job) {
    Instant now = clock.instant();
    if (!now.isBefore(job.limit)) {
      check(job);
      return;
    }
    enter(job, Phase.ENTITLED);
    job.limit = now.plus(SEND_RIGHT);
    actions.add(
        new OrderAction.Send(job.entry.server(), job.entry.offset(), job.entry.order(), job.limit));
  }

  /**
   * Takes the right to send an order. The daemon calls this directly before it writes the order.
   *
   * @param order offset of the order
   * @param leaseValid whether the lease on the server's shard is valid now
   * @return true at most once for each {@link OrderAction.Send}; if false, the order must not be
   *     sent
   */
  public boolean tryStart(long order, boolean leaseValid) {
    Instant now = clock.instant();
    Optional<Job> entitled =
        find(order)
            .filter(job -> job.phase == Phase.ENTITLED)
            .filter(job -> leaseValid && now.isBefore(job.limit));
    entitled.ifPresent(
        job -> {
          enter(job, Phase.SENT);
          job.limit = now.plus(REPEAT);
          job.everSent = true;
        });
    return entitled.isPresent();
  }

  /**
   * Notes the answer of a backend server to an order.
   *
   * @param order offset of the order
   * @param answer answer
   * @param incarnation run of the server that answered; without it a restart is not noticed, and
   *     the order fails when its time is over
   */
  public void answered(long order, OrderResponse answer, Optional<String> incarnation) {
    Optional<Job> sent = find(order).filter(job -> job.phase == Phase.SENT);
    if (sent.isPresent()) {
      switch (answer) {
        case ACCEPTED -> {
          sent.get().maySentUntil = clock.instant();
          watch(sent.get(), incarnation);
        }
        case REFUSED -> end(sent.get(), OrderOutcome.REFUSED);
        default -> end(sent.get(), OrderOutcome.SUPERSEDED);
      }
    }
    advance();
  }

  /**
   * Notes that the answer to an order is lost; the order may take effect.
   *
   * @param order offset of the order
   */
  public void answerLost(long order) {
    find(order).filter(job -> job.phase == Phase.SENT).ifPresent(this::lose);
    advance();
  }

  private Optional<Job> find(long order) {
    return Stream.concat(jobs.values().stream(), followed.values().stream())
        .filter(job -> job.entry.offset() == order)
        .findFirst();
  }

  /**
   * Returns and forgets the actions since the last call.
   *
   * @return actions, in order
   */
  public List<OrderAction> drain() {
    List<OrderAction> result = List.copyOf(actions);
    actions.clear();
    return result;
  }
}
