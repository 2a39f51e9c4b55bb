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
 * Decides when and where the requests of a shard run. All requests for the shard's backend servers
 * pass through its owner, so decisions use exact counts of what was sent instead of lagged reports.
 *
 * <p>Not thread-safe; owned by the control thread. Load reports of each server are expected at
 * least every 250 ms while it has open streams; see {@link AdmissionSettings#silenceMillis}.
 */
public final class AdmissionShard {

  private static final int LOWEST_RANK = WaitingAttempts.RANKS - 1;
  private static final long NO_SERVER_RETRY_MILLIS = 5_000;
  private static final long SHORT_RETRY_MILLIS = 1_000;

  /**
   * Silence of a requester after which its waiting attempt is dropped. Requesters ask again within
   * the validity of a permit; three missed times mean that the requester is gone.
   */
  private static final long FORGOTTEN_MILLIS = 3 * Permit.VALIDITY_MILLIS;

  /** Time without a response head after which only load reports can release an attempt. */
  private static final long UNCONFIRMED_MILLIS = 10_000;

  private final ShardId id;
  private final Clock clock;
  private final AdmissionSettings settings;
  private final Map<BackendServerName, ServerState> servers = new LinkedHashMap<>();
  private final Map<PermitRequestId, Attempt> attempts = new HashMap<>();
  private final AccountLedgers ledgers = new AccountLedgers();
  private final OutputLengths lengths = new OutputLengths();
  private final ServiceRate rate = new ServiceRate();
  private final List<AdmissionDecision> decisions = new ArrayList<>();
  private final WaitingAttempts waiting;
  private final ServerChooser chooser;
  private final Reservations reservations;
  private final DeadlineRule deadlines;
  private final RetryBudget retries;
  private final StartPause pause;
  private Configuration configuration = Configuration.EMPTY;
  private long epoch;
  private long sequence;
  private int open;
  private boolean leaseValid = true;

  /**
   * Creates a shard without servers, with the settings of deployment zopfwerk.
   *
   * @param id identity
   * @param clock source of time
   */
  public AdmissionShard(ShardId id, Clock clock) {
    this(id, clock, AdmissionSettings.zopfwerk());
  }

  /**
   * Creates a shard without servers.
   *
   * @param id identity
   * @param clock source of time
   * @param settings settings of the decision
   */
  public AdmissionShard(ShardId id, Clock clock, AdmissionSettings settings) {
    this.id = id;
    this.clock = clock;
    this.settings = settings;
    this.waiting = new WaitingAttempts(settings.uses(AdmissionFeature.FAIR_SHARES));
    this.chooser = new ServerChooser(settings);
    this.reservations = new Reservations(settings);
    this.deadlines = new DeadlineRule(settings, rate);
    this.retries = new RetryBudget(settings.retryPart());
    this.pause = new StartPause(settings.startPauseMillis());
  }

  /** Sets a further condition on where requests may run; it is asked at each choice. */
  public void setPlacementRule(PlacementRule rule) {
    chooser.placement(rule);
  }

  /**
   * Sets the servers, the configuration and the epoch of the permits to come. A removed server that
   * runs attempts stays known, out of service, so that its limits hold if it is created again.
   *
   * @param newServers servers of the shard, also those out of service
   * @param newConfiguration configuration
   * @param newEpoch fencing number
   */
  public void configure(
      List<BackendServer> newServers, Configuration newConfiguration, long newEpoch) {
    configuration = newConfiguration;
    epoch = newEpoch;
    Set<BackendServerName> names =
        newServers.stream().map(BackendServer::name).collect(Collectors.toSet());
    servers
        .values()
        .removeIf(server -> server.open() == 0 && !names.contains(server.description().name()));
    servers.values().stream()
        .filter(server -> !names.contains(server.description().name()))
        .forEach(server -> server.describe(server.description(), false, clock.millis()));
    for (BackendServer server : newServers) {
      servers
          .computeIfAbsent(server.name(), name -> new ServerState(server, settings))
          .describe(server, configuration.isInService(server), clock.millis());
    }
    ledgers.configure(configuration);
    admitWaiting();
  }

  /**
   * Notes whether the owner's lease is valid. Nothing is granted while it is not.
   *
   * @param valid whether the lease is valid now; true in a new shard
   */
  public void setLeaseValid(boolean valid) {
    leaseValid = valid;
    admitWaiting();
  }

  /**
   * Queues an attempt. Repeating an attempt that waits keeps its place; repeating one that runs
   * gives the same permit again, unless its server went out of service before it was confirmed.
   *
   * @param request attempt
   */
  public void request(PermitRequest request) {
    Attempt known = attempts.get(request.id());
    if (known != null) {
      repeat(known);
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
   * Notes the head of a backend server's response to an attempt.
   *
   * @param id attempt
   * @param condition what the server says of itself
   */
  public void recordConfirmation(PermitRequestId id, BackendCondition condition) {
    Attempt attempt = attempts.get(id);
    ServerState server = attempt == null ? null : attempt.server;
    if (attempt == null || server == null) {
      return;
    }
    attempt.orphaned = false;
    attempt.progressAt = clock.millis();
    server.confirm(attempt);
    server.heard(condition, clock.millis());
    admitWaiting();
  }

  /**
   * Notes progress of an attempt.
   *
   * @param id attempt
   * @param tokens tokens delivered so far
   */
  public void recordProgress(PermitRequestId id, long tokens) {
    Attempt attempt = attempts.get(id);
    ServerState server = attempt == null ? null : attempt.server;
    if (attempt == null || server == null) {
      return;
    }
    attempt.orphaned = false;
    noteTokens(attempt, tokens);
    server.changed();
  }

  /**
   * Notes the end of an attempt, also of one that waits.
   *
   * @param id attempt
   * @param end how it ended
   * @param tokens tokens delivered
   */
  public void recordEnd(PermitRequestId id, AttemptEnd end, long tokens) {
    Attempt attempt = attempts.get(id);
    if (attempt == null) {
      return;
    }
    if (attempt.waiting) {
      forget(attempt);
      return;
    }
    noteTokens(attempt, tokens);
    if (end == AttemptEnd.COMPLETED) {
      attempt.lengths.add(tokens);
      rate.ran(clock.millis() - attempt.grantedAt);
    }
    ServerState server = attempt.server;
    if (server != null) {
      noteEnd(server, end);
    }
    release(attempt);
    admitWaiting();
  }

  /**
   * Notes a load report.
   *
   * @param server backend server
   * @param report report
   */
  public void recordLoadReport(BackendServerName server, LoadReport report) {
    ServerState state = servers.get(server);
    if (state == null) {
      return;
    }
    state.heard(report, clock.millis());
    state.goneOrphans(report, clock.millis()).forEach(this::release);
    admitWaiting();
  }

  /**
   * Notes a cache event of a backend server. Events may come late and with gaps.
   *
   * @param server backend server
   * @param number number of the event
   * @param stored true if the prefix was stored, false if it was evicted
   * @param prefix hash of the prefix
   */
  public void recordCacheEvent(BackendServerName server, long number, boolean stored, long prefix) {
    ServerState state = servers.get(server);
    if (state != null) {
      state.cache.event(number, stored, prefix);
    }
  }

  /**
   * Notes that a run of an entry daemon is over. Its waiting attempts are dropped; its permits
   * count until load reports show that the streams are gone or another daemon reports their
   * progress.
   *
   * @param node entry daemon
   * @param boot identity of the run
   */
  public void markRequesterLost(NodeName node, String boot) {
    List<Attempt> lost =
        attempts.values().stream()
            .filter(attempt -> attempt.request.id().node().equals(node))
            .filter(attempt -> attempt.request.id().boot().equals(boot))
            .toList();
    for (Attempt attempt : lost) {
      if (attempt.waiting) {
        forget(attempt);
      } else {
        attempt.orphaned = true;
      }
    }
    admitWaiting();
  }

  /**
   * Takes over an attempt that an earlier owner granted, from the inventory of an entry daemon.
   *
   * @param request attempt
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
    run(attempt, server, permit);
    noteTokens(attempt, tokens);
    if (tokens > 0) {
      server.confirm(attempt);
    }
  }

  /** Lets time pass: refuses attempts whose deadline cannot be met and admits what fits. */
  public void tick() {
    long now = clock.millis();
    servers.values().forEach(server -> server.tick(now));
    for (Attempt attempt : waiting.select(each -> now - each.askedAt > FORGOTTEN_MILLIS)) {
      forget(attempt);
    }
    for (Attempt attempt : waiting.select(each -> each.deadline <= now)) {
      forget(attempt);
      refuse(attempt.request.id(), ResultCode.DEADLINE_PASSED, SHORT_RETRY_MILLIS);
    }
    if (settings.uses(AdmissionFeature.IMMEDIATE_REFUSAL)) {
      for (Attempt attempt : waiting.select(each -> !deadlines.canMeet(each, 0, now))) {
        forget(attempt);
        refuse(attempt.request.id(), ResultCode.OVERLOADED, expectedRetry(attempt, now));
      }
    }
    markUnconfirmed(now);
    admitWaiting();
  }

  /**
   * Returns a summary of the load.
   *
   * @return load now
   */
  public ShardLoad load() {
    int limit =
        servers.values().stream()
            .filter(ServerState::inService)
            .mapToInt(server -> Math.min(server.limit(), server.description().warmLimit()))
            .sum();
    long now = clock.millis();
    int ahead = 0;
    List<Long> waits = new ArrayList<>();
    for (int rank = 0; rank < WaitingAttempts.RANKS; rank++) {
      ahead += waiting.size(rank);
      waits.add((long) rate.waitMillis(ahead, open, now));
    }
    double perAttempt = rate.waitMillis(1, open, now);
    return new ShardLoad(waiting.size(), open, limit, perAttempt, waits);
  }

  /**
   * Returns and forgets the decisions made since the last call.
   *
   * @return decisions, in order
   */
  public List<AdmissionDecision> drain() {
    List<AdmissionDecision> result = List.copyOf(decisions);
    decisions.clear();
    return result;
  }

  /** Returns the servers, for tests of the safety rules. */
  Collection<ServerState> servers() {
    return servers.values();
  }

  private Attempt newAttempt(PermitRequest request) {
    Optional<PriorityClass> priorityClass = configuration.priorityClass(request.priorityClass());
    boolean byRank = settings.uses(AdmissionFeature.PRIORITY_ORDER);
    int rank = byRank ? priorityClass.map(PriorityClass::rank).orElse(LOWEST_RANK) : 0;
    boolean mayWait = priorityClass.map(PriorityClass::mayWait).orElse(false);
    AccountLedger ledger = ledgers.of(request.account());
    OutputLengths.Source source = lengths.of(request.account(), request.route());
    return new Attempt(request, ledger, source, rank, mayWait, clock.millis(), sequence++);
  }

  private void repeat(Attempt attempt) {
    attempt.askedAt = clock.millis();
    attempt.orphaned = false;
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
      retries.firstAttempt();
    } else if (settings.uses(AdmissionFeature.RETRY_BUDGET) && !retries.takeRetry()) {
      refuse(request.id(), ResultCode.BACKEND_UNAVAILABLE, SHORT_RETRY_MILLIS);
      return true;
    }
    boolean full = waiting.waiting(attempt.rank, request.account()) >= settings.accountQueueLimit();
    if (full || !canMeetDeadline(attempt, now)) {
      refuse(request.id(), ResultCode.OVERLOADED, expectedRetry(attempt, now));
      return true;
    }
    return false;
  }

  private boolean canMeetDeadline(Attempt attempt, long now) {
    if (!settings.uses(AdmissionFeature.IMMEDIATE_REFUSAL)) {
      return true;
    }
    return deadlines.canMeet(attempt, expectedWait(attempt, now), now);
  }

  private double expectedWait(Attempt attempt, long now) {
    int ahead = waiting.ahead(attempt.rank, attempt.request.account());
    return rate.waitMillis(ahead, open, now);
  }

  private long expectedRetry(Attempt attempt, long now) {
    return deadlines.retryMillis(attempt, expectedWait(attempt, now), now);
  }

  private void admitWaiting() {
    if (waiting.size() == 0 || !leaseValid || !anyRoom()) {
      return;
    }
    long now = clock.millis();
    waiting.startPass();
    boolean reserve = settings.uses(AdmissionFeature.PURCHASED_SHARES);
    if (reserve) {
      reservations.refresh(servers.values(), ledgers.purchased());
    }
    for (int rank = 0; rank < WaitingAttempts.RANKS; rank++) {
      boolean paused = rank > settings.preemptingRank() && !pause.isOver(now);
      if (paused || !admitRank(rank, now, reserve)) {
        return;
      }
    }
  }

  /** Admits from one rank; returns false if lower ranks must wait because capacity is short. */
  private boolean admitRank(int rank, long now, boolean reserve) {
    boolean capacityIsShort = false;
    long askedSince = now - Permit.VALIDITY_MILLIS;
    while (waiting.size(rank) > 0) {
      Attempt attempt = waiting.next(rank, askedSince).orElse(null);
      if (attempt == null) {
        break;
      }
      if (reserve && !leavesEnough(attempt)) {
        waiting.block(attempt);
        continue;
      }
      if (chooser.displaces(attempt)) {
        pause.extend(now);
      }
      ServerState server = chooser.choose(attempt, servers.values(), now);
      if (server == null) {
        capacityIsShort |= passBy(attempt);
        continue;
      }
      grant(attempt, server);
      if (waiting.size() == 0 || !anyRoom()) {
        return false;
      }
      if (reserve) {
        reservations.refresh(servers.values(), ledgers.purchased());
      }
    }
    return !capacityIsShort;
  }

  /** Passes by an attempt without a server; returns whether capacity is short. */
  private boolean passBy(Attempt attempt) {
    if (chooser.obstacle() == Obstacle.EXCLUDED) {
      waiting.passOver(attempt);
      return false;
    }
    waiting.block(attempt);
    return true;
  }

  private boolean leavesEnough(Attempt attempt) {
    double needed = attempt.promptTokens + attempt.expectedTotal();
    return reservations.leavesEnough(attempt, needed, deadlines.runMillis(attempt));
  }

  private boolean anyRoom() {
    long now = clock.millis();
    for (ServerState server : servers.values()) {
      if (server.hasRoom(now)) {
        return true;
      }
    }
    return false;
  }

  private void grant(Attempt attempt, ServerState server) {
    Permit permit = new Permit(attempt.request.id(), id, server.description().name(), epoch);
    waiting.remove(attempt);
    run(attempt, server, permit);
    rate.granted(clock.millis());
    server.cache.dispatched(attempt.request.prefixHashes());
    decisions.add(new AdmissionDecision.Granted(permit));
  }

  private void run(Attempt attempt, ServerState server, Permit permit) {
    attempt.server = server;
    attempt.permit = permit;
    attempt.grantedAt = clock.millis();
    attempt.progressAt = attempt.grantedAt;
    attempt.estimate();
    attempt.charged = attempt.expectedTotal();
    attempt.ledger.charge(attempt.charged);
    attempt.ledger.opened(attempt.promptTokens + attempt.charged);
    attempt.ledger.holds(attempt.promptTokens);
    attempt.memoryCharged = attempt.promptTokens + attempt.charged;
    server.open(attempt, attempt.grantedAt);
    open++;
  }

  /** Corrects the charge where more was generated than expected. */
  private void noteTokens(Attempt attempt, long tokens) {
    if (tokens <= attempt.tokens) {
      return;
    }
    long now = clock.millis();
    if (attempt.tokens > 0) {
      rate.generated(tokens - attempt.tokens, now - attempt.progressAt);
    }
    attempt.ledger.holds(tokens - attempt.tokens);
    attempt.tokens = tokens;
    attempt.estimate();
    attempt.progressAt = now;
    if (tokens > attempt.charged) {
      attempt.ledger.charge(tokens - attempt.charged);
      attempt.charged = tokens;
    }
    ServerState server = attempt.server;
    if (server != null) {
      server.heardTokens(now);
    }
  }

  private void noteEnd(ServerState server, AttemptEnd end) {
    switch (end) {
      case BROKEN -> server.broke(clock.millis());
      case REFUSED -> server.breaker.failed(clock.millis());
      case COMPLETED -> server.breaker.succeeded();
      default -> {}
    }
  }

  private void release(Attempt attempt) {
    attempts.remove(attempt.request.id());
    attempt.ledger.charge(attempt.tokens - attempt.charged);
    attempt.ledger.closed(attempt.memoryCharged);
    attempt.ledger.holds(-attempt.promptTokens - attempt.tokens);
    ServerState server = attempt.server;
    if (server != null) {
      server.close(attempt);
    }
    open--;
  }

  private void forget(Attempt attempt) {
    waiting.remove(attempt);
    attempts.remove(attempt.request.id());
  }

  private void markUnconfirmed(long now) {
    for (ServerState server : servers.values()) {
      for (Attempt attempt : server.attempts) {
        if (!attempt.confirmed && now - attempt.grantedAt > UNCONFIRMED_MILLIS) {
          attempt.orphaned = true;
        }
      }
    }
  }

  private void refuse(PermitRequestId attempt, ResultCode code, long retryAfterMillis) {
    decisions.add(new AdmissionDecision.Refused(attempt, code, "shard " + id, retryAfterMillis));
  }
}
