package org.cactusseam.logic.admission;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusseam.logic.admission.ServerChooser.Obstacle;
import org.cactusseam.logic.rollout.ShardRollout;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.LoadReport;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.admission.ShardLoad;

/**
 * Decides when and on which backend server each request of a shard runs. All requests for the
 * shard's backend servers pass through its owner, so the decisions use exact counts of dispatched
 * attempts instead of load reports, which lag behind.
 *
 * <p>Not thread-safe; used by the control thread only. Each server with open streams is expected to
 * send a load report at least every 250 ms; see {@link AdmissionSettings#silenceMillis}.
 */
public final class AdmissionShard {

  private static final int LOWEST_RANK = WaitingAttempts.RANKS - 1;
  private static final long NO_SERVER_RETRY_MILLIS = 5_000;
  private static final long SHORT_RETRY_MILLIS = 1_000;

  /**
   * Time without a repeated request after which a waiting attempt is dropped. Requesters repeat a
   * request within the validity of a permit, so a requester that missed three such periods is lost.
   */
  private static final long REQUESTER_TIMEOUT_MILLIS = 3 * Permit.VALIDITY_MILLIS;

  /** Time without a response head after which load reports can release an attempt. */
  private static final long CONFIRMATION_TIMEOUT_MILLIS = 10_000;

  private final ShardId id;
  private final Clock clock;
  private final AdmissionSettings settings;
  private final Map<BackendServerName, ServerState> servers = new LinkedHashMap<>();
  private final Map<PermitRequestId, Attempt> attempts = new HashMap<>();
  private final AccountLedgers ledgers = new AccountLedgers();
  private final OutputLengths outputLengths = new OutputLengths();
  private final ServiceRate serviceRate = new ServiceRate();
  private final List<AdmissionDecision> decisions = new ArrayList<>();
  private final WaitingAttempts waiting;
  private final ServerChooser chooser;
  private final Reservations reservations;
  private final DeadlineRule deadlineRule;
  private final RetryBudget retryBudget;
  private final StartPause startPause;
  private final ShardRollout rollout;
  private Configuration configuration = Configuration.EMPTY;
  private long epoch;
  private long sequence;
  private int open;
  private boolean leaseValid = true;

  /** Creates a shard without servers, with the preset of deployment zopfwerk. */
  public AdmissionShard(ShardId id, Clock clock) {
    this(id, clock, AdmissionSettings.zopfwerk());
  }

  /**
   * Creates a shard without servers.
   *
   * @param settings parameters of the admission decision
   */
  public AdmissionShard(ShardId id, Clock clock, AdmissionSettings settings) {
    this.id = id;
    this.clock = clock;
    this.settings = settings;
    this.waiting = new WaitingAttempts(settings.uses(AdmissionFeature.FAIR_SHARES));
    this.rollout = new ShardRollout(id);
    this.chooser = new ServerChooser(settings, rollout);
    this.reservations = new Reservations(settings);
    this.deadlineRule = new DeadlineRule(settings, serviceRate);
    this.retryBudget = new RetryBudget(settings.retryPart());
    this.startPause = new StartPause(settings.startPauseMillis());
  }

  /** Sets an additional condition on where requests may run, checked at each placement. */
  public void setPlacementRule(PlacementRule rule) {
    chooser.setPlacementRule(rule);
  }

  /**
   * Sets the servers, the configuration and the epoch of future permits. A removed server with open
   * attempts is kept out of service, so that its limits hold if it is created again.
   *
   * @param newServers servers of the shard, including those out of service
   * @param newConfiguration configuration in force
   * @param newEpoch fencing number for the permits
   */
  public void configure(
      List<BackendServer> newServers, Configuration newConfiguration, long newEpoch) {
    configuration = newConfiguration;
    rollout.configure(newConfiguration);
    epoch = newEpoch;
    Set<BackendServerName> names =
        newServers.stream().map(BackendServer::name).collect(Collectors.toSet());
    servers
        .values()
        .removeIf(server -> server.open() == 0 && !names.contains(server.description().name()));
    servers.values().stream()
        .filter(server -> !names.contains(server.description().name()))
        .forEach(server -> server.configure(server.description(), false, clock.millis()));
    for (BackendServer server : newServers) {
      servers
          .computeIfAbsent(server.name(), name -> new ServerState(server, settings))
          .configure(server, isInService(server), clock.millis());
    }
    ledgers.configure(configuration);
    admitWaiting();
  }

  private boolean isInService(BackendServer server) {
    return configuration.isInService(server) && rollout.permits(server.version());
  }

  /** Returns the part of a roll-out of the pool that this shard carries out. */
  public ShardRollout rollout() {
    return rollout;
  }

  /**
   * Sets whether the owner's lease is valid. No permit is granted while it is not.
   *
   * @param valid whether the lease is valid now; true in a new shard
   */
  public void setLeaseValid(boolean valid) {
    leaseValid = valid;
    admitWaiting();
  }

  /**
   * Queues an attempt and admits it if there is capacity. The call is idempotent: repeating an
   * attempt that waits keeps its place in the queue, and repeating one that runs returns the same
   * permit, unless its server went out of service before the attempt was confirmed.
   *
   * @param request attempt with its limits and its deadline
   */
  public void request(PermitRequest request) {
    Attempt known = attempts.get(request.id());
    if (known != null) {
      answerRepeatedRequest(known);
      return;
    }
    if (servers.values().stream().noneMatch(ServerState::inService)) {
      refuse(request.id(), ResultCode.NO_BACKEND_SERVER, NO_SERVER_RETRY_MILLIS);
      return;
    }
    Attempt attempt = newAttempt(request);
    if (refuseOnArrival(attempt)) {
      return;
    }
    attempts.put(request.id(), attempt);
    waiting.add(attempt);
    admitWaiting();
    if (attempt.waiting) {
      decisions.add(new AdmissionDecision.Queued(request.id()));
    }
  }

  /**
   * Records the response head of an attempt, which confirms that its backend server received it.
   *
   * @param id attempt
   * @param condition incarnation and cold-start state in the response head
   */
  public void recordConfirmation(PermitRequestId id, BackendCondition condition) {
    Attempt attempt = attempts.get(id);
    ServerState server = attempt == null ? null : attempt.server;
    if (attempt == null || server == null) {
      return;
    }
    attempt.abandoned = false;
    attempt.progressAt = clock.millis();
    server.confirm(attempt);
    server.update(condition, clock.millis());
    admitWaiting();
  }

  /**
   * Records the progress of a running attempt.
   *
   * @param id attempt
   * @param tokens tokens delivered so far, in total
   */
  public void recordProgress(PermitRequestId id, long tokens) {
    Attempt attempt = attempts.get(id);
    ServerState server = attempt == null ? null : attempt.server;
    if (attempt == null || server == null) {
      return;
    }
    attempt.abandoned = false;
    recordTokens(attempt, tokens);
    server.invalidateForecast();
  }

  /**
   * Records the end of an attempt, which may still wait, and releases its capacity.
   *
   * @param id attempt
   * @param end how it ended
   * @param tokens tokens delivered in total
   */
  public void recordEnd(PermitRequestId id, AttemptEnd end, long tokens) {
    Attempt attempt = attempts.get(id);
    if (attempt == null) {
      return;
    }
    if (attempt.waiting) {
      dropWaiting(attempt);
      return;
    }
    recordTokens(attempt, tokens);
    if (end == AttemptEnd.COMPLETED) {
      attempt.lengthHistograms.add(tokens);
      serviceRate.recordRunTime(clock.millis() - attempt.grantedAt);
    }
    ServerState server = attempt.server;
    if (server != null) {
      recordOutcome(server, end);
    }
    release(attempt);
    admitWaiting();
  }

  /**
   * Processes a load report, which may lag. Reports of unknown servers are ignored.
   *
   * @param server backend server that sent the report
   * @param report load of the server
   */
  public void recordLoadReport(BackendServerName server, LoadReport report) {
    ServerState state = servers.get(server);
    if (state == null) {
      return;
    }
    state.update(report, clock.millis());
    state.findEndedAttempts(report, clock.millis()).forEach(this::release);
    admitWaiting();
  }

  /**
   * Processes an event of a backend server's prefix cache. Events may be late or missing.
   *
   * @param server backend server that sent the event
   * @param number sequence number of the event
   * @param stored true if the prefix was stored, false if it was evicted
   * @param prefix hash of the prefix
   */
  public void recordCacheEvent(BackendServerName server, long number, boolean stored, long prefix) {
    ServerState state = servers.get(server);
    if (state != null) {
      state.cache.recordEvent(number, stored, prefix);
    }
  }

  /**
   * Handles the loss of an entry daemon. Its waiting attempts are dropped. Its running attempts
   * keep counting against the limits until load reports show that their streams have ended, or
   * until another daemon reports their progress.
   *
   * @param node entry daemon
   * @param boot identity of the daemon's process run that ended
   */
  public void markRequesterLost(NodeName node, String boot) {
    List<Attempt> lost =
        attempts.values().stream()
            .filter(attempt -> attempt.request.id().node().equals(node))
            .filter(attempt -> attempt.request.id().boot().equals(boot))
            .toList();
    for (Attempt attempt : lost) {
      if (attempt.waiting) {
        dropWaiting(attempt);
      } else {
        attempt.abandoned = true;
      }
    }
    admitWaiting();
  }

  /**
   * Adds an attempt that a previous owner of the shard granted, as listed in the inventory of an
   * entry daemon.
   *
   * @param request attempt as it was requested
   * @param permit permit under which it runs
   * @param tokens tokens delivered so far
   */
  public void adopt(PermitRequest request, Permit permit, long tokens) {
    ServerState server = servers.get(permit.server());
    if (server == null || attempts.containsKey(request.id())) {
      return;
    }
    Attempt attempt = newAttempt(request);
    attempt.waiting = false;
    attempts.put(request.id(), attempt);
    start(attempt, server, permit);
    recordTokens(attempt, tokens);
    if (tokens > 0) {
      server.confirm(attempt);
    }
  }

  /**
   * Applies all timeouts, marks silent servers as cold and admits waiting attempts that fit.
   * Attempts of lost requesters are dropped; those whose deadline cannot be met are refused.
   */
  public void tick() {
    long now = clock.millis();
    servers.values().forEach(server -> server.tick(now));
    if (rollout.isInProgress()) {
      attempts.values().forEach(attempt -> attempt.reportUnanswered(rollout, now));
    }
    if (rollout.tick(clock.instant())) {
      servers.values().stream()
          .filter(server -> !rollout.permits(server.description().version()))
          .forEach(server -> server.configure(server.description(), false, now));
    }
    for (Attempt attempt :
        waiting.select(each -> now - each.lastRequestedAt > REQUESTER_TIMEOUT_MILLIS)) {
      dropWaiting(attempt);
    }
    for (Attempt attempt : waiting.select(each -> each.deadline <= now)) {
      dropWaiting(attempt);
      refuse(attempt.request.id(), ResultCode.DEADLINE_PASSED, SHORT_RETRY_MILLIS);
    }
    if (settings.uses(AdmissionFeature.IMMEDIATE_REFUSAL)) {
      for (Attempt attempt : waiting.select(each -> !deadlineRule.canMeet(each, 0, now))) {
        dropWaiting(attempt);
        refuse(attempt.request.id(), ResultCode.OVERLOADED, expectedRetryMillis(attempt, now));
      }
    }
    markUnconfirmed(now);
    admitWaiting();
  }

  /** Returns a summary of the present load, for requesters that choose between shards. */
  public ShardLoad load() {
    return LoadSummary.of(servers.values(), waiting, serviceRate, open, clock.millis());
  }

  /** Returns and removes the decisions made since the last call, in order. */
  public List<AdmissionDecision> drain() {
    List<AdmissionDecision> result = List.copyOf(decisions);
    decisions.clear();
    return result;
  }

  /** Returns the state of all servers, for tests of the safety rules. */
  Collection<ServerState> servers() {
    return servers.values();
  }

  private Attempt newAttempt(PermitRequest request) {
    Optional<PriorityClass> priorityClass = configuration.priorityClass(request.priorityClass());
    boolean byRank = settings.uses(AdmissionFeature.PRIORITY_ORDER);
    int rank = byRank ? priorityClass.map(PriorityClass::rank).orElse(LOWEST_RANK) : 0;
    boolean mayWait = priorityClass.map(PriorityClass::mayWait).orElse(false);
    AccountLedger ledger = ledgers.of(request.account());
    OutputLengths.Histograms histograms = outputLengths.of(request.account(), request.route());
    return new Attempt(request, ledger, histograms, rank, mayWait, clock.millis(), sequence++);
  }

  private void answerRepeatedRequest(Attempt attempt) {
    attempt.lastRequestedAt = clock.millis();
    attempt.abandoned = false;
    Permit permit = attempt.permit;
    ServerState server = attempt.server;
    if (permit == null || server == null) {
      decisions.add(new AdmissionDecision.Queued(attempt.request.id()));
      return;
    }
    boolean mayBeUnsent = !attempt.confirmed;
    if (mayBeUnsent && (!server.inService() || !leaseValid)) {
      refuse(attempt.request.id(), ResultCode.NO_BACKEND_SERVER, SHORT_RETRY_MILLIS);
      return;
    }
    decisions.add(new AdmissionDecision.Granted(permit));
  }

  private boolean refuseOnArrival(Attempt attempt) {
    PermitRequest request = attempt.request;
    long now = clock.millis();
    boolean retry = !request.excluded().isEmpty();
    if (!retry) {
      retryBudget.addCredit();
    } else if (settings.uses(AdmissionFeature.RETRY_BUDGET) && !retryBudget.tryConsumeRetry()) {
      refuse(request.id(), ResultCode.BACKEND_UNAVAILABLE, SHORT_RETRY_MILLIS);
      return true;
    }
    boolean full = waiting.waiting(attempt.rank, request.account()) >= settings.accountQueueLimit();
    if (full || !canMeetDeadline(attempt, now)) {
      refuse(request.id(), ResultCode.OVERLOADED, expectedRetryMillis(attempt, now));
      return true;
    }
    return false;
  }

  private boolean canMeetDeadline(Attempt attempt, long now) {
    if (!settings.uses(AdmissionFeature.IMMEDIATE_REFUSAL)) {
      return true;
    }
    return deadlineRule.canMeet(attempt, expectedWaitMillis(attempt, now), now);
  }

  private double expectedWaitMillis(Attempt attempt, long now) {
    int ahead = waiting.countAhead(attempt.rank, attempt.request.account());
    return serviceRate.waitMillis(ahead, open, now);
  }

  private long expectedRetryMillis(Attempt attempt, long now) {
    return deadlineRule.retryMillis(attempt, expectedWaitMillis(attempt, now), now);
  }

  private void admitWaiting() {
    if (waiting.size() == 0 || !leaseValid || !anyServerHasCapacity()) {
      return;
    }
    long now = clock.millis();
    waiting.startPass();
    boolean reserve = settings.uses(AdmissionFeature.PURCHASED_SHARES);
    if (reserve) {
      reservations.refresh(servers.values(), ledgers.purchased());
    }
    for (int rank = 0; rank < WaitingAttempts.RANKS; rank++) {
      boolean paused = rank > settings.preemptingRank() && !startPause.isOver(now);
      if (paused || !admitRank(rank, now, reserve)) {
        return;
      }
    }
  }

  /** Admits attempts of one rank; returns false if lower ranks must wait for capacity. */
  private boolean admitRank(int rank, long now, boolean reserve) {
    boolean capacityIsShort = false;
    long requestedSince = now - Permit.VALIDITY_MILLIS;
    while (waiting.size(rank) > 0) {
      Attempt attempt = waiting.next(rank, requestedSince).orElse(null);
      if (attempt == null) {
        break;
      }
      if (reserve && !respectsReservations(attempt)) {
        waiting.skipAccount(attempt);
        continue;
      }
      if (chooser.mayPreempt(attempt)) {
        startPause.extend(now);
      }
      ServerState server = chooser.choose(attempt, servers.values(), now);
      if (server == null) {
        capacityIsShort |= skip(attempt);
        continue;
      }
      grant(attempt, server);
      if (waiting.size() == 0 || !anyServerHasCapacity()) {
        return false;
      }
      if (reserve) {
        reservations.refresh(servers.values(), ledgers.purchased());
      }
    }
    return !capacityIsShort;
  }

  /**
   * Skips an attempt without a server. A lack of capacity also skips its account and returns true.
   */
  private boolean skip(Attempt attempt) {
    if (chooser.obstacle() == Obstacle.EXCLUDED) {
      waiting.skip(attempt);
      return false;
    }
    waiting.skipAccount(attempt);
    return true;
  }

  private boolean respectsReservations(Attempt attempt) {
    double needed = attempt.promptTokens + attempt.expectedTotal();
    return reservations.leavesEnoughCapacity(attempt, needed, deadlineRule.runMillis(attempt));
  }

  private boolean anyServerHasCapacity() {
    long now = clock.millis();
    for (ServerState server : servers.values()) {
      if (server.hasCapacity(now)) {
        return true;
      }
    }
    return false;
  }

  private void grant(Attempt attempt, ServerState server) {
    Permit permit = new Permit(attempt.request.id(), id, server.description().name(), epoch);
    waiting.remove(attempt);
    start(attempt, server, permit);
    rollout.recordGrant(server.description().version(), !attempt.request.excluded().isEmpty());
    serviceRate.recordGrant(clock.millis());
    server.cache.recordDispatch(attempt.request.prefixHashes());
    decisions.add(new AdmissionDecision.Granted(permit));
  }

  private void start(Attempt attempt, ServerState server, Permit permit) {
    attempt.start(server, permit, clock.millis());
    server.open(attempt, attempt.grantedAt);
    open++;
  }

  /** Records the tokens generated so far and charges the account for those beyond the estimate. */
  private void recordTokens(Attempt attempt, long tokens) {
    if (tokens <= attempt.tokens) {
      return;
    }
    long now = clock.millis();
    if (attempt.tokens > 0) {
      serviceRate.recordTokens(tokens - attempt.tokens, now - attempt.progressAt);
    }
    attempt.ledger.addHeldMemory(tokens - attempt.tokens);
    attempt.tokens = tokens;
    attempt.estimate();
    attempt.progressAt = now;
    if (tokens > attempt.chargedTokens) {
      attempt.ledger.charge(tokens - attempt.chargedTokens);
      attempt.chargedTokens = tokens;
    }
    ServerState server = attempt.server;
    if (server != null) {
      server.recordTokens(now);
    }
  }

  private void recordOutcome(ServerState server, AttemptEnd end) {
    switch (end) {
      case BROKEN -> server.recordBrokenStream(clock.millis());
      case REFUSED -> server.breaker.recordFailure(clock.millis());
      case COMPLETED -> server.breaker.recordSuccess();
      default -> {}
    }
  }

  private void release(Attempt attempt) {
    attempts.remove(attempt.request.id());
    attempt.settle();
    ServerState server = attempt.server;
    if (server != null) {
      server.close(attempt);
    }
    open--;
  }

  private void dropWaiting(Attempt attempt) {
    waiting.remove(attempt);
    attempts.remove(attempt.request.id());
  }

  private void markUnconfirmed(long now) {
    for (ServerState server : servers.values()) {
      for (Attempt attempt : server.attempts) {
        if (!attempt.confirmed && now - attempt.grantedAt > CONFIRMATION_TIMEOUT_MILLIS) {
          attempt.abandoned = true;
        }
      }
    }
  }

  private void refuse(PermitRequestId attempt, ResultCode code, long retryAfterMillis) {
    decisions.add(new AdmissionDecision.Refused(attempt, code, "shard " + id, retryAfterMillis));
  }
}
