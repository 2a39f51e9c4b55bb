package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.RequestQueue;
import org.cactusseam.logic.gateway.RouteDecision;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.GatewayAccount;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.GenerationDemand;
import org.cactusseam.model.gateway.KvCopyReference;
import org.cactusseam.model.gateway.ServerCall;
import org.cactusseam.model.gateway.ServerInstance;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller, from its head to the end of its answer. Every path ends in {@link
 * #finish}, which releases what the request holds.
 */
abstract sealed class Exchange permits BufferedExchange, StreamExchange {

  static final StructuredLog LOG = StructuredLog.of(Exchange.class);

  /**
   * Time for a new connection to a backend server: twice the round trip between regions (40 ms,
   * SYSTEM page) and a loaded event loop.
   */
  static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** Part of the target latency for which a request waits for a place at least. */
  private static final double WAITING_PART_OF_TARGET = 0.6;

  /**
   * Part of the time limit for which a request waits for a place: a caller comes back once at most,
   * so a request with a long time limit is served late rather than sent away.
   */
  private static final double WAITING_PART_OF_LIMIT = 0.25;

  /** Time after which a refused caller is asked to come back; places free up within about 1 s. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(800);

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
  private int sends;
  private boolean finished;
  private long deadlineTimer;
  private long waitingTimer = -1;
  private RequestQueue.@Nullable Entry<Exchange> place;

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
    Duration patience = head.callerTimeout().orElse(route.timeout());
    this.deadline =
        receivedAt.plus(patience.compareTo(route.timeout()) < 0 ? patience : route.timeout());
    this.log = LOG.forRequest(head.attemptId());
  }

  /** Starts the request, or lets it wait for a place. */
  final void start() {
    gateway.add(this);
    gateway.budget(service.name()).request(gateway.clock().instant());
    incoming.response().closeHandler(closed -> callerLeft());
    incoming.response().exceptionHandler(cause -> callerLeft());
    deadlineTimer =
        gateway.vertx().setTimer(Math.max(1, timeLeft().toMillis()), timer -> deadlinePassed());
    seekPlace();
  }

  /** Looks for a place, now or as soon as one is free. */
  final void seekPlace() {
    if (finished || tryStart()) {
      return;
    }
    place = gateway.waiting(service.name()).add(rank(), this);
    waitingTimer =
        gateway.vertx().setTimer(Math.max(1, waitingLimit().toMillis()), timer -> waitedTooLong());
  }

  private Duration waitingLimit() {
    double ofTarget = route.targetLatency().toMillis() * WAITING_PART_OF_TARGET;
    double ofLimit = timeLeft().toMillis() * WAITING_PART_OF_LIMIT;
    Duration limit = Duration.ofMillis((long) Math.max(ofTarget, ofLimit));
    return limit.compareTo(timeLeft()) < 0 ? limit : timeLeft();
  }

  /**
   * Starts the request if a server has room.
   *
   * @return whether it no longer waits
   */
  final boolean tryStart() {
    if (finished) {
      return true;
    }
    Optional<ServerInstance> server = gateway.placement().choose(need());
    if (server.isEmpty()) {
      return false;
    }
    stopWaiting();
    send(server.get());
    return true;
  }

  private void stopWaiting() {
    gateway.vertx().cancelTimer(waitingTimer);
    place = null;
  }

  private void waitedTooLong() {
    if (!finished && place != null) {
      gateway.waiting(service.name()).remove(place);
      place = null;
      noPlace();
    }
  }

  final ServerSelector.Requirements need() {
    return new ServerSelector.Requirements(
        service, regions(), tokens(), excluded, head.attemptId().hashCode());
  }

  private Set<String> regions() {
    Set<String> ofAccount = account.map(GatewayAccount::regions).orElse(Set.of());
    if (route.regions().isEmpty() || ofAccount.isEmpty()) {
      return route.regions().isEmpty() ? ofAccount : route.regions();
    }
    Set<String> both = new HashSet<>(route.regions());
    both.retainAll(ofAccount);
    // A name that is no region: where both bind and share none, nothing is allowed.
    return both.isEmpty() ? Set.of("") : both;
  }

  final int tokens() {
    return head.demand().map(GenerationDemand::expectedTokens).orElse(0);
  }

  final int promptTokens() {
    return head.demand().map(GenerationDemand::promptTokens).orElse(0);
  }

  final int rank() {
    return account.map(GatewayAccount::rank).orElse(OptionalInt.empty()).orElse(route.rank());
  }

  final Duration timeLeft() {
    return Duration.between(gateway.clock().instant(), deadline);
  }

  final Duration age() {
    return Duration.between(receivedAt, gateway.clock().instant());
  }

  final boolean isFinished() {
    return finished;
  }

  /** Sends the request to a server that has room. */
  abstract void send(ServerInstance server);

  /** The caller has closed its connection. */
  abstract void cancel();

  /** No place became free in time. */
  abstract void noPlace();

  /** The time of the route or of the caller is over. */
  abstract void timedOut();

  /** Called several times a second while the request runs. */
  void tick(Instant now) {}

  final ServerCall call(
      ServerInstance server, Optional<String> lastEventId, Optional<KvCopyReference> continuation) {
    OptionalInt priority =
        head.demand().isPresent() ? OptionalInt.of(Math.min(9, rank())) : OptionalInt.empty();
    return new ServerCall(
        server, timeLeft(), account.map(GatewayAccount::name), priority, lastEventId, continuation);
  }

  final RequestOptions options(ServerInstance server, ServerCall call) {
    return new RequestOptions()
        .setMethod(incoming.method())
        .setHost(server.host())
        .setPort(server.port())
        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
        .setURI(incoming.uri())
        .setHeaders(gateway.translation().encode(incoming.headers(), call));
  }

  final void countSend(ServerInstance server) {
    sends++;
    gateway.placement().recordSent(server);
    log.info(
        "sent",
        field("route", route.name()),
        field("server", server.id()),
        field("domain", server.failureDomain()),
        field("send", sends),
        field("age_ms", age().toMillis()),
        field("server_runs", gateway.loads().total(server.id()).runs()),
        field("configuration", gateway.routes().version().orElse(-1L)));
  }

  final void write(HttpClientRequest outgoing) {
    if (body.length() == 0 && incoming.method().name().equals("GET")) {
      outgoing.end();
    } else {
      outgoing.end(body);
    }
  }

  private void deadlinePassed() {
    if (!finished) {
      timedOut();
    }
  }

  private void callerLeft() {
    if (!finished) {
      log.info("caller_left", field("age_ms", age().toMillis()), field("sends", sends));
      gateway.metrics().ended(route.name(), "caller_left", age());
      finish();
      cancel();
    }
  }

  /** Refuses the request: it has not run and will not run. */
  final void refuse(String reason) {
    if (finished) {
      return;
    }
    HttpServerResponse response = incoming.response();
    response.putHeader("Retry-After", Double.toString(RETRY_AFTER.toMillis() / MILLIS_PER_SECOND));
    fail(STATUS_UNAVAILABLE, reason, "refused");
  }

  /** Fails the request: it may have run. */
  final void failMayHaveRun(String reason) {
    fail(STATUS_BAD_GATEWAY, reason, "failed");
  }

  /** Ends the request because its time is over; it may have run. */
  final void failTimeout(String reason) {
    fail(STATUS_GATEWAY_TIMEOUT, reason, "timeout");
  }

  private void fail(int status, String reason, String outcome) {
    if (finished) {
      return;
    }
    logEnd(outcome, status, reason);
    finish();
    announceClose();
    incoming.response().setStatusCode(status).putHeader("Content-Type", "text/plain").end(reason);
    closeIfDraining();
  }

  final void logEnd(String outcome, int status, String reason) {
    gateway.metrics().ended(route.name(), outcome, age());
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

  /** Tells the caller that its connection closes after the answer, before its head is written. */
  final void announceClose() {
    if (gateway.isDraining()) {
      incoming.response().putHeader("Connection", "close");
    }
  }

  final void closeIfDraining() {
    if (gateway.isDraining()) {
      incoming.connection().close();
    }
  }

  final void finish() {
    finished = true;
    gateway.vertx().cancelTimer(deadlineTimer);
    gateway.vertx().cancelTimer(waitingTimer);
    if (place != null) {
      gateway.waiting(service.name()).remove(place);
      place = null;
    }
    gateway.remove(this);
  }
}
