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
 * Executes the orders to the backend servers of the shards that this daemon owns, so that each
 * order takes effect once even if sends, responses or daemons fail.
 *
 * <p>For each order, the owner first queries the state of the server. If the state does not show
 * the order, the owner obtains a token, appends a record that it is about to send, reads that
 * record back and sends the order. If the response is lost, it starts again with the state. While
 * the state shows the order as in progress, it waits for the result. A server that ignores fencing
 * numbers could still receive an earlier send that the network delayed. For such a server, an order
 * is therefore treated as absent only if the state was taken at least {@link #DELAYED_WRITE_LIMIT}
 * after the last time at which any owner may have sent it; if the network delays a write for
 * longer, such a server can execute an order twice. If a server does not report its orders in
 * progress, an order that may have been sent is never treated as absent, because the server may
 * still be executing it.
 *
 * <p>An order in progress is lost when the server process restarts. If the new process does not
 * show it, it is sent again. A state may be stale: a state from before the last send gives no
 * information about that send, and the server process that received an order is the one that
 * responded to it or showed it, not the one that an earlier state named.
 *
 * <p>Paused processes: the permission to send expires {@link #SEND_PERMISSION} after the owner read
 * back its record, and {@link #tryStart} also requires a valid lease on the shard. A successor
 * takes over only after that lease has expired.
 *
 * <p>When a server is removed, its orders end in the log. If such an order may have been sent, the
 * executor still awaits its result but does not send it again; see {@link
 * OrderView#withServerRemoved}.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
public final class OrderExecutor {

  /** Time for which an order may be sent after its {@code Started} record was read back. */
  public static final Duration SEND_PERMISSION = Duration.ofSeconds(1);

  /** Maximum expected network delay of a write to a backend server. */
  public static final Duration DELAYED_WRITE_LIMIT = Duration.ofSeconds(5);

  /**
   * Interval at which queries and appends that had no effect are repeated, and timeout for the
   * response to an order.
   */
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(2);

  /**
   * Validity of a token, counted from the request for it, so that a token that a paused bucket
   * holder grants late is not used.
   */
  private static final Duration TOKEN_VALIDITY = Duration.ofSeconds(5);

  /**
   * Time limit for a server to show the result of an order, for example after loading a large
   * model.
   */
  private static final Duration RESULT_TIMEOUT = Duration.ofMinutes(30);

  private enum Phase {
    QUERYING_STATE,
    AWAITING_TOKEN,
    RECORDING_START,
    PERMITTED,
    SENT,
    AWAITING_RESULT,
    RECORDING_OUTCOME
  }

  private static final Set<Phase> PHASES_BEFORE_SEND =
      EnumSet.of(Phase.AWAITING_TOKEN, Phase.RECORDING_START, Phase.PERMITTED);

  private static final class Job {
    private final OrderView.Entry entry;
    private final Instant created;
    private Phase phase = Phase.QUERYING_STATE;
    private Instant nextRetryAt = Instant.MIN;
    private Instant phaseEnd = Instant.MAX;
    private Instant lastPossibleSend;
    private boolean mayHaveBeenSent;
    private long attempt;
    private Optional<String> receivedBy = Optional.empty();
    private OrderOutcome outcome = OrderOutcome.FAILED;

    private Job(OrderView.Entry entry, Instant created) {
      this.entry = entry;
      this.created = created;
      this.mayHaveBeenSent = entry.start().isPresent();
      this.lastPossibleSend = created;
    }
  }

  private record OwnedServer(boolean checksFencing) {}

  private final NodeName node;
  private final String boot;
  private final Clock clock;
  private final Map<BackendServerName, OwnedServer> ownedServers = new LinkedHashMap<>();
  private final Map<BackendServerName, Job> jobs = new LinkedHashMap<>();

  /** Orders to removed servers whose results are still awaited, by log offset. */
  private final Map<Long, Job> resultOnlyJobs = new LinkedHashMap<>();

  private final List<OrderAction> actions = new ArrayList<>();
  private OrderView orderView = OrderView.EMPTY;
  private long lastAttempt;

  /**
   * Creates an executor that owns no backend servers.
   *
   * @param node name of this daemon
   * @param boot identity of this daemon process
   * @param clock clock for timeouts and retries
   */
  public OrderExecutor(NodeName node, String boot, Clock clock) {
    this.node = node;
    this.boot = boot;
    this.clock = clock;
  }

  /**
   * Starts to execute the orders to a backend server. Must be called only after the lease of the
   * previous owner has expired.
   *
   * @param server backend server to take over
   * @param checksFencing whether the server rejects lower fencing numbers and ignores repeated ones
   */
  public void addServer(BackendServerName server, boolean checksFencing) {
    ownedServers.put(server, new OwnedServer(checksFencing));
    advance();
  }

  /**
   * Stops executing the orders to a backend server because the lease expired or the shard was
   * handed over.
   *
   * @param server backend server to give up
   */
  public void removeServer(BackendServerName server) {
    ownedServers.remove(server);
    jobs.remove(server);
  }

  /**
   * Updates the orders after a control record was applied.
   *
   * @param newOrderView current view of the orders
   */
  public void ordersChanged(OrderView newOrderView) {
    orderView = newOrderView;
    advance();
  }

  /**
   * Performs the work that is due: repeats queries and appends that had no effect, and handles
   * timeouts.
   */
  public void tick() {
    advance();
  }

  private void advance() {
    updateResultOnlyJobs();
    for (BackendServerName server : ownedServers.keySet()) {
      Optional<OrderView.Entry> next = orderView.next(server);
      Job job = jobs.get(server);
      boolean unchanged =
          job != null && next.isPresent() && next.get().offset() == job.entry.offset();
      if (!unchanged) {
        jobs.remove(server);
        next.ifPresent(entry -> jobs.put(server, new Job(entry, clock.instant())));
      }
    }
    jobs.values().forEach(this::advance);
    resultOnlyJobs.values().forEach(this::advance);
  }

  private void updateResultOnlyJobs() {
    if (jobs.isEmpty() && resultOnlyJobs.isEmpty()) {
      return;
    }
    jobs.values().stream()
        .filter(job -> awaitsResultOnly(job.entry.offset()))
        .forEach(job -> resultOnlyJobs.put(job.entry.offset(), job));
    jobs.values().removeAll(resultOnlyJobs.values());
    Instant oldestAwaited = clock.instant().minus(RESULT_TIMEOUT);
    resultOnlyJobs
        .values()
        .removeIf(
            job -> !awaitsResultOnly(job.entry.offset()) || !job.created.isAfter(oldestAwaited));
    resultOnlyJobs.values().stream()
        .filter(job -> PHASES_BEFORE_SEND.contains(job.phase))
        .forEach(this::queryState);
  }

  /**
   * Returns whether the server of an order was removed, so that only the result of the order is
   * awaited.
   *
   * @param order log offset of the order
   * @return true if the order is not sent again
   */
  public boolean awaitsResultOnly(long order) {
    return orderView.find(order).filter(OrderView.Entry::awaitsResultOnly).isPresent();
  }

  /**
   * Returns the orders that this executor is processing.
   *
   * @return log offsets of the orders
   */
  public Set<Long> orders() {
    Set<Long> orders = new HashSet<>(resultOnlyJobs.keySet());
    jobs.values().forEach(job -> orders.add(job.entry.offset()));
    return orders;
  }

  private void advance(Job job) {
    Instant now = clock.instant();
    if (job.phase == Phase.RECORDING_START && isStartRecorded(job)) {
      permitSend(job);
    }
    boolean overdue = !now.isBefore(job.phaseEnd);
    if (overdue && (job.phase == Phase.RECORDING_START || job.phase == Phase.PERMITTED)) {
      queryState(job);
    }
    if (overdue && job.phase == Phase.SENT) {
      handleLostResponse(job);
    }
    boolean awaitingServer =
        job.phase == Phase.QUERYING_STATE || job.phase == Phase.AWAITING_RESULT;
    if (awaitingServer && !now.isBefore(job.created.plus(RESULT_TIMEOUT))) {
      recordOutcome(job, OrderOutcome.FAILED);
    }
    if (!now.isBefore(job.nextRetryAt)) {
      performPhaseAction(job, now);
    }
  }

  private boolean isStartRecorded(Job job) {
    OrderView.Start mine = new OrderView.Start(node, boot, job.attempt);
    return orderView
        .find(job.entry.offset())
        .flatMap(OrderView.Entry::start)
        .equals(Optional.of(mine));
  }

  private void performPhaseAction(Job job, Instant now) {
    long order = job.entry.offset();
    job.nextRetryAt = now.plus(RETRY_INTERVAL);
    switch (job.phase) {
      case QUERYING_STATE, AWAITING_RESULT ->
          actions.add(new OrderAction.ReadState(job.entry.server(), order, job.entry.order()));
      case AWAITING_TOKEN -> {
        job.phaseEnd = now.plus(TOKEN_VALIDITY);
        actions.add(new OrderAction.RequestToken(order));
      }
      case RECORDING_START ->
          actions.add(
              new OrderAction.Append(new OrderRecord.Started(order, node, boot, job.attempt)));
      case RECORDING_OUTCOME ->
          actions.add(new OrderAction.Append(new OrderRecord.Ended(order, job.outcome)));
      default -> {} // a permission to send and a sent order have their own time limits
    }
  }

  private void enterPhase(Job job, Phase phase) {
    job.phase = phase;
    job.nextRetryAt = Instant.MIN;
    job.phaseEnd = Instant.MAX;
  }

  private void queryState(Job job) {
    enterPhase(job, Phase.QUERYING_STATE);
  }

  private void handleLostResponse(Job job) {
    job.lastPossibleSend = clock.instant();
    queryState(job);
  }

  private void recordOutcome(Job job, OrderOutcome outcome) {
    job.outcome = outcome;
    enterPhase(job, Phase.RECORDING_OUTCOME);
  }

  /**
   * Handles a state report of a backend server.
   *
   * @param order log offset of the order for which the state was queried
   * @param asOf earliest time at which the state can have been taken: the time at which the query
   *     was sent, minus the age stated by the server
   * @param incarnation identity of the server process
   * @param state state of the order according to the report
   */
  public void stateRead(long order, Instant asOf, String incarnation, OrderState state) {
    find(order)
        .filter(job -> job.phase == Phase.QUERYING_STATE || job.phase == Phase.AWAITING_RESULT)
        .ifPresent(job -> applyState(job, asOf, incarnation, state));
    advance();
  }

  private void applyState(Job job, Instant asOf, String incarnation, OrderState state) {
    switch (state) {
      case DONE -> recordOutcome(job, OrderOutcome.DONE);
      case IN_PROGRESS -> {
        if (job.phase == Phase.QUERYING_STATE) {
          awaitResult(job, Optional.of(incarnation));
        }
      }
      default -> { // ABSENT or UNLISTED
        if (canSendSafely(job, asOf, incarnation, state)) {
          enterPhase(job, Phase.AWAITING_TOKEN);
        }
      }
    }
  }

  /** Waits for the result of an order that a server process has received. */
  private void awaitResult(Job job, Optional<String> incarnation) {
    job.receivedBy = incarnation;
    enterPhase(job, Phase.AWAITING_RESULT);
  }

  /**
   * Returns whether an order that the state does not show can be sent without the risk that it is
   * executed twice.
   */
  private boolean canSendSafely(Job job, Instant asOf, String incarnation, OrderState state) {
    if (resultOnlyJobs.containsKey(job.entry.offset())) {
      return false;
    }
    boolean noWritePending = !asOf.isBefore(job.lastPossibleSend.plus(DELAYED_WRITE_LIMIT));
    if (job.phase == Phase.AWAITING_RESULT) {
      boolean restarted = job.receivedBy.isPresent() && !job.receivedBy.get().equals(incarnation);
      return restarted && noWritePending;
    }
    boolean listed = state == OrderState.ABSENT;
    return !job.mayHaveBeenSent || checksFencing(job) || (noWritePending && listed);
  }

  private boolean checksFencing(Job job) {
    OwnedServer server = ownedServers.get(job.entry.server());
    return server != null && server.checksFencing();
  }

  /**
   * Handles a granted token.
   *
   * @param order log offset of the order that may use the token
   */
  public void tokenGranted(long order) {
    Instant now = clock.instant();
    find(order)
        .filter(job -> job.phase == Phase.AWAITING_TOKEN && now.isBefore(job.phaseEnd))
        .ifPresent(this::recordStart);
    advance();
  }

  private void recordStart(Job job) {
    Instant tokenExpiry = job.phaseEnd;
    enterPhase(job, Phase.RECORDING_START);
    job.phaseEnd = tokenExpiry;
    job.attempt = ++lastAttempt;
  }

  private void permitSend(Job job) {
    Instant now = clock.instant();
    if (!now.isBefore(job.phaseEnd)) {
      queryState(job);
      return;
    }
    enterPhase(job, Phase.PERMITTED);
    job.phaseEnd = now.plus(SEND_PERMISSION);
    actions.add(
        new OrderAction.Send(
            job.entry.server(), job.entry.offset(), job.entry.order(), job.phaseEnd));
  }

  /**
   * Marks an order as sent if it may be sent now. The daemon calls this immediately before it
   * writes the order to the backend server.
   *
   * @param order log offset of the order
   * @param leaseValid whether this daemon's lease on the server's shard is valid now
   * @return true at most once per {@link OrderAction.Send}; if false, the order must not be sent
   */
  public boolean tryStart(long order, boolean leaseValid) {
    Instant now = clock.instant();
    Optional<Job> permitted =
        find(order)
            .filter(job -> job.phase == Phase.PERMITTED)
            .filter(job -> leaseValid && now.isBefore(job.phaseEnd));
    permitted.ifPresent(
        job -> {
          enterPhase(job, Phase.SENT);
          job.phaseEnd = now.plus(RETRY_INTERVAL);
          job.mayHaveBeenSent = true;
        });
    return permitted.isPresent();
  }

  /**
   * Handles the response of a backend server to an order.
   *
   * @param order log offset of the order
   * @param response response of the server
   * @param incarnation identity of the server process that responded; if empty, a restart of the
   *     server is not detected, and the order fails when its time limit expires
   */
  public void responseReceived(long order, OrderResponse response, Optional<String> incarnation) {
    Optional<Job> sent = find(order).filter(job -> job.phase == Phase.SENT);
    if (sent.isPresent()) {
      switch (response) {
        case ACCEPTED -> {
          sent.get().lastPossibleSend = clock.instant();
          awaitResult(sent.get(), incarnation);
        }
        case REFUSED -> recordOutcome(sent.get(), OrderOutcome.REFUSED);
        default -> recordOutcome(sent.get(), OrderOutcome.SUPERSEDED);
      }
    }
    advance();
  }

  /**
   * Handles the loss of the response to an order, which may still take effect.
   *
   * @param order log offset of the order
   */
  public void responseLost(long order) {
    find(order).filter(job -> job.phase == Phase.SENT).ifPresent(this::handleLostResponse);
    advance();
  }

  private Optional<Job> find(long order) {
    return Stream.concat(jobs.values().stream(), resultOnlyJobs.values().stream())
        .filter(job -> job.entry.offset() == order)
        .findFirst();
  }

  /**
   * Removes and returns the pending actions.
   *
   * @return actions since the last call, in the order in which they must be performed
   */
  public List<OrderAction> drain() {
    List<OrderAction> result = List.copyOf(actions);
    actions.clear();
    return result;
  }
}
