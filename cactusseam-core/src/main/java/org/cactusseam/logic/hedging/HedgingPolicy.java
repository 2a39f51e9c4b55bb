package org.cactusseam.logic.hedging;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.logic.gateway.ServerTable;
import org.cactusseam.logic.gateway.SharedRetryBudget;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Decides when a repeatable request whose first attempt is slow is sent to a second server. The
 * extra requests stay within a share of the requests of the service. The share needs no messages:
 * each VM uses at most the share of its own requests, so that it holds for the sum as well.
 */
public final class HedgingPolicy {

  /** Share of the response times of a route that are below the threshold, at least. */
  private static final double MIN_QUANTILE = 0.95;

  /**
   * Shortest time until a second attempt. Timers have a resolution of 1 ms, and a connection within
   * a failure domain takes some milliseconds on a loaded machine.
   */
  static final Duration MIN_THRESHOLD = Duration.ofMillis(10);

  /** Share of taken slots from which the load of a second attempt delays other requests. */
  static final double MAX_OCCUPANCY = 0.7;

  /** Part of the retry budget that hedged requests may use. Retries after failures use all. */
  static final double USABLE_RETRY_FRACTION = 0.5;

  /**
   * A timer that fires later than this shows that the process was paused. Responses that arrived in
   * the meantime have not been read yet.
   */
  static final Duration MAX_TIMER_DELAY = Duration.ofMillis(50);

  /** Time for reading responses that arrived during a pause of the process. */
  static final Duration RECHECK_DELAY = Duration.ofMillis(20);

  private final Duration window;
  private final double extraShare;
  private final Instant startedAt;
  private final ServerTable servers;
  private final ServerSelector selector;
  private final Map<String, SharedRetryBudget> shares = new HashMap<>();
  private final Map<String, ResponseTimes> responseTimes = new HashMap<>();
  private final ServerTimeliness timeliness = new ServerTimeliness();

  /**
   * Creates a policy without samples.
   *
   * @param window window of the retry budget
   * @param extraShare largest share of extra requests, from 0 to 1
   * @param startedAt start of the process
   * @param servers listed servers
   * @param selector selector of the servers
   */
  public HedgingPolicy(
      Duration window,
      double extraShare,
      Instant startedAt,
      ServerTable servers,
      ServerSelector selector) {
    this.window = window;
    this.extraShare = extraShare;
    this.startedAt = startedAt;
    this.servers = servers;
    this.selector = selector;
  }

  /** Counts a request of a service, which earns a part of an extra request. */
  public void recordRequest(String service, Instant now) {
    share(service).request(now);
  }

  /**
   * Records how long an attempt took. For an attempt that was cancelled because a later one was
   * faster, the time until then must be recorded too: without the slow ones, the estimate would
   * fall, and more and more requests would exceed it.
   */
  public void recordResponse(String route, String serverId, Duration time, Instant now) {
    ResponseTimes times = responseTimes.computeIfAbsent(route, name -> new ResponseTimes(window));
    threshold(route, now)
        .ifPresent(
            limit -> {
              boolean isSlow = time.compareTo(limit) > 0;
              timeliness.record(serverId, isSlow, now);
              // An attempt that exceeded the threshold was counted when it did.
              if (!isSlow) {
                times.recordOutcome(false);
              }
            });
    times.add(time, now);
  }

  /**
   * Returns the age from which an attempt counts as slow.
   *
   * @return threshold, or empty before enough responses of the route
   */
  public Optional<Duration> threshold(String route, Instant now) {
    return Optional.ofNullable(responseTimes.get(route))
        .flatMap(times -> times.quantile(quantile(), now))
        .map(time -> time.compareTo(MIN_THRESHOLD) < 0 ? MIN_THRESHOLD : time);
  }

  /**
   * A threshold below which more requests fall than the share allows to hedge would spend the share
   * on those that are only just slow.
   */
  private double quantile() {
    return Math.max(MIN_QUANTILE, 1 - extraShare);
  }

  /**
   * Decides on a second attempt, and counts it if it is to be sent.
   *
   * @param request request whose first attempt has not ended yet
   * @return decision and what it is based on
   */
  public HedgeDecision decide(SlowRequest request, Instant now) {
    ResponseTimes times = responseTimes.get(request.route());
    Optional<Duration> current = threshold(request.route(), now);
    if (times == null || current.isEmpty()) {
      return new HedgeDecision.Denied(HedgeDecision.Reason.FEW_SAMPLES);
    }
    Duration threshold = current.get();
    if (request.age().compareTo(threshold) < 0) {
      return new HedgeDecision.Wait(threshold.minus(request.age()));
    }
    if (request.lateness().compareTo(MAX_TIMER_DELAY) > 0) {
      return new HedgeDecision.Wait(RECHECK_DELAY);
    }
    times.recordOutcome(true);
    timeliness.record(request.server().id(), true, now);
    timeliness.expire(now);
    Optional<HedgeDecision.Reason> objection = objection(request, times, now);
    if (objection.isPresent()) {
      return new HedgeDecision.Denied(objection.get());
    }
    return selector
        .choose(request.requirements().excluding(unsuitable(request, now)))
        .map(server -> reserve(request, server, threshold, now))
        .orElse(new HedgeDecision.Denied(HedgeDecision.Reason.NO_SERVER));
  }

  private Optional<HedgeDecision.Reason> objection(
      SlowRequest request, ResponseTimes times, Instant now) {
    if (request.isDraining()) {
      return Optional.of(HedgeDecision.Reason.DRAINING);
    }
    if (request.waiting() > 0) {
      return Optional.of(HedgeDecision.Reason.QUEUE);
    }
    if (selector.occupancy(request.requirements()) > MAX_OCCUPANCY) {
      return Optional.of(HedgeDecision.Reason.BUSY);
    }
    Duration median = times.quantile(0.5, now).orElse(Duration.ZERO);
    if (median.compareTo(request.targetLatency()) > 0
        || times.isSlowerThanUsual()
        || timeliness.areMostSlow(usable(request))) {
      return Optional.of(HedgeDecision.Reason.ALL_SLOW);
    }
    return request.remaining().compareTo(median) <= 0
        ? Optional.of(HedgeDecision.Reason.LITTLE_TIME)
        : Optional.empty();
  }

  private List<ServerInstance> usable(SlowRequest request) {
    return servers.usable(request.requirements().service().name());
  }

  private Set<String> unsuitable(SlowRequest request, Instant now) {
    List<ServerInstance> usable = usable(request);
    Set<String> unsuitable = new HashSet<>(timeliness.unsuitable(usable));
    unsuitable.add(request.server().id());
    usable.stream()
        .map(ServerInstance::id)
        .filter(id -> servers.isWarmingUp(id, now))
        .forEach(unsuitable::add);
    return unsuitable;
  }

  private HedgeDecision reserve(
      SlowRequest request, ServerInstance server, Duration threshold, Instant now) {
    SharedRetryBudget share = share(request.requirements().service().name());
    SharedRetryBudget.Decision ofShare = share.tryReserve(request.vms(), now);
    if (!ofShare.isAllowed()) {
      return new HedgeDecision.Denied(HedgeDecision.Reason.SHARE);
    }
    SharedRetryBudget budget = request.retryBudget();
    if (!budget.tryReserveFraction(USABLE_RETRY_FRACTION, request.vms(), now).isAllowed()) {
      share.release();
      return new HedgeDecision.Denied(HedgeDecision.Reason.RETRY_BUDGET);
    }
    share.recordSent(now);
    budget.recordSent(now);
    return new HedgeDecision.Send(server, threshold, ofShare.used(), ofShare.limit());
  }

  private SharedRetryBudget share(String service) {
    // Without an allowance, the limit is the share of this VM's own requests alone.
    return shares.computeIfAbsent(
        service, name -> new SharedRetryBudget(window, extraShare, 0, startedAt));
  }
}
