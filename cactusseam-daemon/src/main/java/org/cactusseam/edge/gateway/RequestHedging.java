package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.logic.hedging.HedgeDecision;
import org.cactusseam.logic.hedging.HedgingPolicy;
import org.cactusseam.logic.hedging.SlowRequest;
import org.cactusseam.model.gateway.RepeatPolicy;
import org.cactusseam.model.gateway.ServerInstance;

/** Applies the decisions on hedged requests to the requests of a gateway, and reports them. */
final class RequestHedging {

  /** A second attempt runs on a second server while the first one runs. */
  private static final int MIN_RUNS = 2;

  /**
   * Shortest time between two log lines of a reason: in an overload, every slow request is denied.
   */
  private static final Duration DENIAL_LOG_INTERVAL = Duration.ofSeconds(1);

  private final Gateway gateway;
  private final HedgingPolicy policy;
  private final Map<HedgeDecision.Reason, Instant> denialsLoggedAt =
      new EnumMap<>(HedgeDecision.Reason.class);

  RequestHedging(Gateway gateway, HedgingPolicy policy) {
    this.gateway = gateway;
    this.policy = policy;
  }

  /** Returns whether a request may have two attempts at once. */
  boolean appliesTo(Exchange request) {
    return request.route.repetition() == RepeatPolicy.REPEATABLE
        && request.route.maximumRuns() >= MIN_RUNS
        && gateway.isHedged(request.service.name());
  }

  /**
   * Counts the first attempt of a request.
   *
   * @return age at which the attempt counts as slow; empty before enough responses of the route
   */
  Optional<Duration> recordFirst(Exchange request) {
    Instant now = gateway.clock().instant();
    policy.recordRequest(request.service.name(), now);
    return policy.threshold(request.route.name(), now);
  }

  /** Records how long an attempt took until its response, or until it was given up. */
  void recordResponse(Exchange request, ServerInstance server, Instant sentAt) {
    Instant now = gateway.clock().instant();
    policy.recordResponse(request.route.name(), server.id(), Duration.between(sentAt, now), now);
  }

  /**
   * Decides whether a request whose first attempt still runs is sent to a second server.
   *
   * @param server server of the first attempt
   * @param sentAt time at which the first attempt was sent
   * @param dueAt time at which the decision was due
   * @return decision; a second attempt is counted already and must be sent
   */
  HedgeDecision decide(Exchange request, ServerInstance server, Instant sentAt, Instant dueAt) {
    Instant now = gateway.clock().instant();
    String service = request.service.name();
    Duration age = Duration.between(sentAt, now);
    HedgeDecision decision =
        policy.decide(
            new SlowRequest(
                request.route.name(),
                request.route.targetLatency(),
                request.requirements(),
                server,
                age,
                request.remainingTime(),
                Duration.between(dueAt, now),
                gateway.isDraining(),
                gateway.queue(service).size(),
                gateway.retryBudget(service),
                gateway.vmCount()),
            now);
    switch (decision) {
      case HedgeDecision.Send second -> {
        request.log.info(
            "hedged",
            field("after", server.id()),
            field("server", second.server().id()),
            field("age_ms", age.toMillis()),
            field("threshold_ms", second.threshold().toMillis()),
            field("share_used", second.shareUsed()),
            field("share_limit", String.format(Locale.ROOT, "%.1f", second.shareLimit())));
        count(service, "sent");
      }
      case HedgeDecision.Denied no -> {
        if (isDenialLogged(no.reason(), now)) {
          request.log.info(
              "hedge_denied",
              field("after", server.id()),
              field("age_ms", age.toMillis()),
              field("reason", no.reason().label()));
        }
        gateway
            .metrics()
            .increment(
                "cactusseam_hedges_denied_total{service=\""
                    + service
                    + "\",reason=\""
                    + no.reason().label()
                    + "\"}");
      }
      case HedgeDecision.Wait later -> request.log.debug("hedge_postponed", field("for", later));
    }
    return decision;
  }

  private boolean isDenialLogged(HedgeDecision.Reason reason, Instant now) {
    Instant last = denialsLoggedAt.get(reason);
    if (last != null && now.isBefore(last.plus(DENIAL_LOG_INTERVAL))) {
      return false;
    }
    denialsLoggedAt.put(reason, now);
    return true;
  }

  /** Counts a request that was answered while two attempts ran. */
  void recordWinner(Exchange request, boolean isSecond) {
    count(request.service.name(), isSecond ? "won" : "lost");
  }

  private void count(String service, String event) {
    gateway
        .metrics()
        .increment("cactusseam_hedges_total{service=\"" + service + "\",event=\"" + event + "\"}");
  }
}
