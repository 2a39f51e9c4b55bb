package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.DrainPolicy;
import org.cactusseam.logic.gateway.RequestQueue;
import org.cactusseam.logic.gateway.RouteDecision;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.logic.gateway.SharedRetryBudget;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.GatewayAccount;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.GenerationDemand;
import org.cactusseam.model.gateway.KvCopyReference;
import org.cactusseam.model.gateway.ServerCall;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.ServerReply;
import org.cactusseam.model.gateway.VersionFilter;
import org.jspecify.annotations.Nullable;

/**
 * A request of a caller, from its head to the end of its response. Every path ends in {@link
 * #finish}, which cancels the timers, leaves the queue and unregisters the request.
 */
abstract sealed class Exchange permits BufferedExchange, StreamExchange {

  static final StructuredLog LOG = StructuredLog.of(Exchange.class);

  /**
   * Timeout for a new connection to a backend server. Covers twice the round-trip time between
   * regions (40 ms) and delays on a loaded event loop.
   */
  static final int CONNECT_TIMEOUT_MILLIS = 400;

  /**
   * Shortest time that a request stays in the queue, as a fraction of the route's target latency.
   */
  private static final double QUEUE_TIME_PER_TARGET_LATENCY = 0.6;

  /**
   * Time that a request stays in the queue, as a fraction of its remaining time. A refused caller
   * retries at most once, so a request with a long time limit is better served late than refused.
   */
  private static final double QUEUE_TIME_PER_REMAINING_TIME = 0.25;

  /** Value of {@code Retry-After} in refusals. Capacity becomes free within about 1 s. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(800);

  /** Other VMs accept the request at once. */
  static final Duration RETRY_AFTER_DRAINING = Duration.ofMillis(50);

  static final String SHUTDOWN_REASON = "this VM shuts down";

  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_GATEWAY_TIMEOUT = 504;
  private static final double MILLIS_PER_SECOND = 1_000;

  final Gateway gateway;
  final HttpServerRequest incoming;
  final Buffer body;
  final CallerRequest head;
  final GatewayRoute route;
  final GatewayService service;
  final Optional<GatewayAccount> account;
  final Instant receivedAt;
  final Instant deadline;
  final Set<String> excluded = new HashSet<>();
  final StructuredLog log;
  int runs;
  private final RequestFingerprints fingerprints;
  private int sends;
  private boolean hasReservedRetry;
  private boolean finished;
  private boolean closeAnnounced;
  private long deadlineTimer;
  private long queueTimer = -1;
  private RequestQueue.@Nullable Entry<Exchange> queueEntry;

  Exchange(
      Gateway gateway,
      HttpServerRequest incoming,
      Buffer body,
      CallerRequest head,
      RouteDecision.Accepted accepted,
      GatewayService service,
      Instant receivedAt) {
    this.gateway = gateway;
    this.incoming = incoming;
    this.body = body;
    this.head = head;
    this.route = accepted.route();
    this.account = accepted.account();
    this.service = service;
    this.receivedAt = receivedAt;
    Duration callerTimeout = head.callerTimeout().orElse(route.timeout());
    this.deadline =
        receivedAt.plus(
            callerTimeout.compareTo(route.timeout()) < 0 ? callerTimeout : route.timeout());
    this.log = LOG.forRequest(head.attemptId());
    this.fingerprints = new RequestFingerprints(incoming, body, head, account);
  }

  /** Starts the deadline timer and sends the request, or queues it if no server has capacity. */
  final void start() {
    gateway.add(this);
    gateway.retryBudget(service.name()).request(gateway.clock().instant());
    incoming.response().closeHandler(closed -> onCallerDisconnected());
    incoming.response().exceptionHandler(cause -> onCallerDisconnected());
    deadlineTimer =
        gateway
            .vertx()
            .setTimer(Math.max(1, remainingTime().toMillis()), timer -> handleDeadline());
    begin();
  }

  /** Begins to serve the request. */
  void begin() {
    sendOrEnqueue();
  }

  /**
   * Queues the request and starts what can start. Requests that wait already come first in the
   * order of the queue: one that arrives when capacity becomes free must not overtake them.
   */
  final void sendOrEnqueue() {
    endIfQuarantined();
    endIfTooLateToSend();
    if (finished) {
      return;
    }
    RequestQueue<Exchange> queue = gateway.queue(service.name());
    queueEntry = queue.add(queueClaim(), this);
    queueTimer =
        gateway
            .vertx()
            .setTimer(Math.max(1, maximumQueueTime().toMillis()), timer -> handleQueueTimeout());
    gateway.startQueued(queue);
    endIfWaitingPastExit();
  }

  private void endIfTooLateToSend() {
    if (!finished
        && gateway.isDraining()
        && !DrainPolicy.isSendingAllowed(
            route.repetition().isStream(),
            remainingTime(),
            gateway.timeDraining(),
            gateway.timeUntilExit())) {
      endUnserved(SHUTDOWN_REASON);
    }
  }

  /**
   * Ends the request if it waits for a server and could still wait when a draining gateway exits.
   */
  final void endIfWaitingPastExit() {
    if (queueEntry != null
        && gateway.isDraining()
        && !DrainPolicy.isWaitingAllowed(remainingTime(), gateway.timeUntilExit())) {
      endUnserved(SHUTDOWN_REASON);
    }
  }

  /**
   * Ends the request because the process exits. Without this the exit would close the connection,
   * from which the caller cannot tell whether the request has run.
   */
  final void endBeforeExit() {
    endUnserved(SHUTDOWN_REASON);
    cancel();
  }

  private RequestQueue.Claim queueClaim() {
    return new RequestQueue.Claim(
        rank(),
        account.map(GatewayAccount::name).orElse(""),
        Math.max(1, expectedTokens()),
        receivedAt.plus(route.targetLatency()));
  }

  private Duration maximumQueueTime() {
    double fromTargetLatency = route.targetLatency().toMillis() * QUEUE_TIME_PER_TARGET_LATENCY;
    double fromRemainingTime = remainingTime().toMillis() * QUEUE_TIME_PER_REMAINING_TIME;
    Duration limit = Duration.ofMillis((long) Math.max(fromTargetLatency, fromRemainingTime));
    return limit.compareTo(remainingTime()) < 0 ? limit : remainingTime();
  }

  /**
   * Sends the request if a server has capacity.
   *
   * @return whether the request can leave the queue, because it was sent or had already finished
   */
  final boolean tryStart() {
    if (finished) {
      return true;
    }
    Optional<ServerInstance> server = gateway.rollouts().choose(requirements(), sends == 0);
    if (server.isEmpty()) {
      return false;
    }
    clearQueueEntry();
    send(server.get());
    return true;
  }

  private void clearQueueEntry() {
    gateway.vertx().cancelTimer(queueTimer);
    queueEntry = null;
  }

  private void handleQueueTimeout() {
    if (!finished && queueEntry != null) {
      gateway.queue(service.name()).remove(queueEntry);
      queueEntry = null;
      endUnserved("all servers are busy");
    }
  }

  final ServerSelector.Requirements requirements() {
    return new ServerSelector.Requirements(
        service,
        allowedRegions(),
        expectedTokens(),
        excluded,
        head.attemptId().hashCode(),
        route.name(),
        versions());
  }

  /** Returns the versions of the servers that may run the request. */
  VersionFilter versions() {
    return gateway.rollouts().usualVersions(service.name());
  }

  private Set<String> allowedRegions() {
    Set<String> accountRegions = account.map(GatewayAccount::regions).orElse(Set.of());
    if (route.regions().isEmpty() || accountRegions.isEmpty()) {
      return route.regions().isEmpty() ? accountRegions : route.regions();
    }
    Set<String> common = new HashSet<>(route.regions());
    common.retainAll(accountRegions);
    // Both the route and the account restrict regions and have none in common. The empty name
    // matches no region, so that no server is eligible.
    return common.isEmpty() ? Set.of("") : common;
  }

  final int expectedTokens() {
    return head.demand().map(GenerationDemand::expectedTokens).orElse(0);
  }

  final int promptTokens() {
    return head.demand().map(GenerationDemand::promptTokens).orElse(0);
  }

  final int rank() {
    return account.map(GatewayAccount::rank).orElse(OptionalInt.empty()).orElse(route.rank());
  }

  final Duration remainingTime() {
    return Duration.between(gateway.clock().instant(), deadline);
  }

  final Duration age() {
    return Duration.between(receivedAt, gateway.clock().instant());
  }

  final boolean isFinished() {
    return finished;
  }

  /** Sends the request to a server with free capacity. */
  abstract void send(ServerInstance server);

  /**
   * Aborts the attempt in progress, because the caller has disconnected or the deadline has passed.
   */
  abstract void cancel();

  /** Returns whether a server has begun to answer the request. */
  abstract boolean hasBegun();

  /**
   * Ends the request before its time limit although no server has completed it. The caller learns
   * that it has not run if no attempt was sent.
   *
   * @param reason reason for the caller and the log
   */
  abstract void endUnserved(String reason);

  /** Called when the time limit of the route or of the caller has passed. */
  abstract void onDeadline();

  /**
   * Returns whether the request runs on an engine and has no usable copy of its run elsewhere.
   *
   * @param engine engine that is leaving
   * @return whether a copy of the run should be made
   */
  boolean needsCopyFrom(ServerInstance engine) {
    return false;
  }

  /** Called several times per second while the request is active. */
  void tick(Instant now) {}

  final ServerCall createServerCall(
      ServerInstance server, Optional<String> lastEventId, Optional<KvCopyReference> continuation) {
    OptionalInt priority =
        head.demand().isPresent() ? OptionalInt.of(Math.min(9, rank())) : OptionalInt.empty();
    return new ServerCall(
        server,
        remainingTime(),
        account.map(GatewayAccount::name),
        priority,
        lastEventId,
        continuation);
  }

  final RequestOptions requestOptions(ServerInstance server, ServerCall call) {
    return new RequestOptions()
        .setMethod(incoming.method())
        .setHost(server.host())
        .setPort(server.port())
        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
        .setURI(incoming.uri())
        .setHeaders(gateway.headerCodec().encode(incoming.headers(), call));
  }

  final void recordSend(ServerInstance server) {
    sends++;
    if (hasReservedRetry) {
      hasReservedRetry = false;
      gateway.retryBudget(service.name()).recordSent(gateway.clock().instant());
    }
    gateway.serverSelector().recordSent(server);
    gateway.rollouts().recordSent(server, sends == 1);
    log.info(
        "sent",
        field("route", route.name()),
        field("server", server.id()),
        field("domain", server.failureDomain()),
        field("send", sends),
        field("age_ms", age().toMillis()),
        field("server_runs", gateway.loads().total(server.id()).runs()),
        field("server_pace", gateway.pacePercent(server, route)),
        field("configuration", gateway.routes().version().orElse(-1L)));
  }

  final void sendBody(HttpClientRequest outgoing) {
    if (body.length() == 0 && incoming.method().name().equals("GET")) {
      outgoing.end();
    } else {
      outgoing.end(body);
    }
  }

  /**
   * Reserves one retry of the budget that all gateways share, and logs what decided it. The next
   * send uses the reservation.
   *
   * @param event event that is logged if the retry is allowed
   * @param attempted server of the attempt that is repeated
   * @param reason reason for the retry
   * @return whether the request may be sent once more
   */
  final boolean tryRetry(String event, ServerInstance attempted, String reason) {
    SharedRetryBudget.Decision decision = gateway.tryReserveRetry(service.name());
    hasReservedRetry = decision.isAllowed();
    gateway
        .metrics()
        .increment(
            "cactusseam_retries_total{service=\""
                + service.name()
                + "\",allowed=\""
                + decision.isAllowed()
                + "\"}");
    log.info(
        decision.isAllowed() ? event : "retry_denied",
        field("after", attempted.id()),
        field("reason", reason),
        field("budget_used", decision.used()),
        field("budget_limit", String.format(Locale.ROOT, "%.1f", decision.limit())),
        field("budget_gateways", decision.vms()));
    return decision.isAllowed();
  }

  /** Records that a response states that the request has not run, and whether it is believed. */
  final void recordStatement(ServerInstance server, ServerReply reply) {
    log.info(
        reply.notRun() ? "not_run" : "statement_ignored",
        field("server", server.id()),
        field("status", reply.status()),
        field("named_attempt", reply.attempt()),
        field("of_other_server", reply.ofOtherServer()),
        field("signed", reply.signed()));
  }

  private void handleDeadline() {
    if (!finished) {
      onDeadline();
    }
  }

  private void onCallerDisconnected() {
    if (!finished) {
      log.info("caller_left", field("age_ms", age().toMillis()), field("sends", sends));
      gateway.metrics().recordEnd(route.name(), "caller_left", age());
      finish();
      cancel();
    }
  }

  /**
   * Records that an attempt was closed before its answer began, and finds out whether its server
   * crashed. The failure is handled only afterwards, so that neither this gateway nor the caller
   * sends the request again before a crash is known.
   *
   * @return completes when a crash, if there was one, is recorded; never fails
   */
  final Future<CrashCheck.Result> recordUnanswered(ServerInstance server, boolean headReceived) {
    return gateway
        .quarantine()
        .recordUnanswered(server, fingerprints.all(), headReceived)
        .onSuccess(
            result -> {
              gateway
                  .metrics()
                  .increment(
                      "cactusseam_unanswered_attempts_total{service=\""
                          + service.name()
                          + "\",server=\""
                          + result.name().toLowerCase(Locale.ROOT)
                          + "\"}");
              log.info(
                  "unanswered",
                  field("server", server.id()),
                  field("server_state", result),
                  field("server_leaves", gateway.leavingServers().isLeaving(server.id())),
                  field("head_received", headReceived),
                  field("prompt_parts", String.join(",", head.sharedPromptParts())));
            });
  }

  /** Records that a server has answered the request, or has begun to stream its answer. */
  final void recordAnswered() {
    if (gateway.quarantine().isActive()) {
      gateway.quarantine().recordAnswer(fingerprints.all());
    } else {
      gateway.quarantine().recordAnswer(fingerprints.ofParts());
    }
  }

  /** Ends the request if it is known to crash servers and no server has begun to answer it. */
  final void endIfQuarantined() {
    if (isQuarantined()) {
      int status = ResultCode.QUARANTINED.httpStatus();
      fail(status, "requests of this kind crash the servers that run them", "quarantined");
      cancel();
    }
  }

  private boolean isQuarantined() {
    return !finished
        && !hasBegun()
        && gateway.quarantine().isActive()
        && gateway.quarantine().isQuarantined(fingerprints.all());
  }

  /** Returns whether the request has met crashes and must not run again in this attempt. */
  final boolean isSuspected() {
    return gateway.quarantine().isActive() && gateway.quarantine().isSuspected(fingerprints.all());
  }

  /** Refuses the request with status 503: it has not run and will not run. */
  final void refuse(String reason) {
    if (finished) {
      return;
    }
    HttpServerResponse response = incoming.response();
    Duration retryAfter = gateway.isDraining() ? RETRY_AFTER_DRAINING : RETRY_AFTER;
    response.putHeader("Retry-After", Double.toString(retryAfter.toMillis() / MILLIS_PER_SECOND));
    fail(STATUS_UNAVAILABLE, reason, "refused");
  }

  /** Fails the request with status 502: it may have run. */
  final void failMayHaveRun(String reason) {
    fail(STATUS_BAD_GATEWAY, reason, "failed");
  }

  /**
   * Returns whether the answer of a server must not reach the caller. The statuses that refuse a
   * request promise that it has not run, and an answer that is no statement of the server, above
   * all a signed one, leaves open whether it has: the caller would send a request again that may
   * run once only. For a repeatable request a second run does no harm, so its answer is passed on.
   */
  final boolean isFalsePromise(int status) {
    return !route.repetition().isRepeatable() && ServerReply.isRefusal(status);
  }

  /** Fails the request with status 504 because its time limit has passed: it may have run. */
  final void failTimeout(String reason) {
    fail(STATUS_GATEWAY_TIMEOUT, reason, "timeout");
  }

  private void fail(int status, String reason, String outcome) {
    if (finished) {
      return;
    }
    logEnd(outcome, status, reason);
    finish();
    addCloseHeader();
    incoming.response().setStatusCode(status).putHeader("Content-Type", "text/plain");
    endResponse(Buffer.buffer(reason));
  }

  /**
   * Ends the response, and closes the connection if the response announced it. The gateway does not
   * exit before the response is written.
   *
   * @param content rest of the response body
   */
  final void endResponse(Buffer content) {
    gateway.trackWrite(incoming.response().end(content));
    closeIfAnnounced();
  }

  final void logEnd(String outcome, int status, String reason) {
    gateway.metrics().recordEnd(route.name(), outcome, age());
    log.info(
        "ended",
        field("outcome", outcome),
        field("status", status),
        field("reason", reason),
        field("route", route.name()),
        field("account", account.map(GatewayAccount::name).orElse("none")),
        field("age_ms", age().toMillis()),
        field("sends", sends));
  }

  /**
   * Adds {@code Connection: close} to the response while the gateway drains. Must be called before
   * the head of the response is written.
   */
  final void addCloseHeader() {
    if (gateway.isDraining()) {
      closeAnnounced = true;
      incoming.response().putHeader("Connection", "close");
    }
  }

  /**
   * Closes the connection after the response if the response announced it. Without the announcement
   * the caller may have sent its next request already, which the close would cut off; that request
   * is answered and the close announced with it.
   */
  private void closeIfAnnounced() {
    if (closeAnnounced) {
      incoming.connection().close();
    }
  }

  final void finish() {
    finished = true;
    gateway.vertx().cancelTimer(deadlineTimer);
    gateway.vertx().cancelTimer(queueTimer);
    if (queueEntry != null) {
      gateway.queue(service.name()).remove(queueEntry);
      queueEntry = null;
    }
    if (hasReservedRetry) {
      hasReservedRetry = false;
      gateway.retryBudget(service.name()).release();
    }
    gateway.remove(this);
  }
}
