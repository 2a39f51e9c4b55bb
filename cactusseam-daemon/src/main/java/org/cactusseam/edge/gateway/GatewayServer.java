package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.edge.client.BodyReader;
import org.cactusseam.edge.client.CallerConnection;
import org.cactusseam.edge.client.CallerConnections;
import org.cactusseam.edge.client.ClientMemory;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.IdleConnections;
import org.cactusseam.logic.gateway.RouteDecision;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.GatewayService;

/** HTTP servers of the gateway, for callers, readiness checks and metrics. */
final class GatewayServer {

  private static final StructuredLog LOG = StructuredLog.of(GatewayServer.class);

  /** Above the limit in the configuration (16 KiB), which callers keep to. */
  private static final int MAX_HEADER_BYTES = 32 << 10;

  /**
   * Connections without any traffic, even within a request, are closed after this time. It is
   * longer than the time limit of any route and than the idle time that callers are allowed.
   */
  private static final int STALL_TIMEOUT_SECONDS = 120;

  /** Connections to the port for readiness checks, and to that for metrics. */
  private static final int MAX_INTERNAL_CONNECTIONS = 32;

  /** Longer than the intervals of readiness checks; a scraper connects again. */
  private static final int INTERNAL_IDLE_SECONDS = 30;

  private static final int BACKLOG = 1_024;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAUTHORIZED = 401;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_TOO_LARGE = 413;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final String RETRY_AFTER_NOT_CONFIGURED = "0.5";
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Memory is granted within 500 ms or refused; other VMs may have more. */
  private static final String RETRY_AFTER_UNREAD = "0.8";

  /**
   * A caller without progress is given this multiple of the configured idle timeout, of which
   * callers use up to four fifths. As for idle connections, a newer configuration may be known to
   * callers first.
   */
  private static final double PROGRESS_TIME_FACTOR = 1.6;

  private final Gateway gateway;
  private final HttpServer callers;
  private final HttpServer readiness;
  private final HttpServer metrics;
  private final IdleConnections<HttpConnection> idleConnections = new IdleConnections<>();
  private final CallerConnections connections;
  private int bodiesBeingRead;
  private boolean closing;

  GatewayServer(Gateway gateway) {
    this.gateway = gateway;
    this.connections =
        new CallerConnections(
            gateway.vertx(),
            gateway.clock(),
            createMemory(),
            new CallerConnections.Limits(
                gateway.settings().features().memory().maximumConnections(), this::progressTime),
            limit ->
                gateway
                    .metrics()
                    .increment("cactusseam_connections_closed_total{limit=\"" + limit + "\"}"));
    HttpServerOptions options =
        new HttpServerOptions()
            .setTcpNoDelay(true)
            .setAcceptBacklog(BACKLOG)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxInitialLineLength(MAX_HEADER_BYTES)
            .setHttp2ClearTextEnabled(false)
            .setHandle100ContinueAutomatically(true)
            .setIdleTimeout(STALL_TIMEOUT_SECONDS);
    this.callers =
        gateway
            .vertx()
            .createHttpServer(options)
            .connectionHandler(this::onConnected)
            .requestHandler(this::receive);
    this.readiness = createInternalServer().requestHandler(this::handleReadiness);
    this.metrics = createInternalServer().requestHandler(this::handleMetrics);
  }

  private ClientMemory createMemory() {
    long total =
        gateway
            .settings()
            .features()
            .memory()
            .clientBytes()
            .orElse((long) (Runtime.getRuntime().maxMemory() * ClientMemory.HEAP_SHARE));
    return new ClientMemory(gateway.clock(), total, MAX_HEADER_BYTES);
  }

  private Duration progressTime() {
    Duration idleTimeout = gateway.routes().limits().idleTimeout();
    return Duration.ofMillis((long) (idleTimeout.toMillis() * PROGRESS_TIME_FACTOR));
  }

  /** Creates a server of which the oldest connection is closed if there are too many. */
  private HttpServer createInternalServer() {
    Set<HttpConnection> open = new LinkedHashSet<>();
    return gateway
        .vertx()
        .createHttpServer(
            new HttpServerOptions()
                .setHttp2ClearTextEnabled(false)
                .setIdleTimeout(INTERNAL_IDLE_SECONDS))
        .connectionHandler(
            connection -> {
              if (open.size() >= MAX_INTERNAL_CONNECTIONS) {
                HttpConnection oldest = open.iterator().next();
                open.remove(oldest);
                oldest.close();
              }
              open.add(connection);
              connection.closeHandler(closed -> open.remove(connection));
            });
  }

  Future<Void> listen() {
    GatewaySettings settings = gateway.settings();
    return Future.all(
            List.of(
                callers.listen(settings.callerPort(), settings.host()),
                readiness.listen(settings.readinessPort(), settings.host()),
                metrics.listen(settings.metricsPort(), settings.host())))
        .mapEmpty();
  }

  Future<Void> close() {
    closing = true;
    return callers.close();
  }

  /**
   * Returns whether a request has arrived, at least in part, that is not answered or forwarded: its
   * head or body is being read, it waits for the response before it, or its body is discarded.
   */
  boolean isReadingRequest() {
    return bodiesBeingRead > 0 || connections.hasUnfinishedRequest();
  }

  /** Closes caller connections that have exceeded the configured idle timeout. */
  void tick(Instant now) {
    Duration limit = gateway.routes().limits().idleTimeout();
    for (HttpConnection connection : idleConnections.expired(limit, now)) {
      LOG.debug("idle_connection_closed", field("remote", connection.remoteAddress()));
      connection.close();
    }
  }

  /** Grants and refuses memory, and closes connections that exceed a limit. */
  void checkMemory() {
    connections.check();
  }

  private void onConnected(HttpConnection connection) {
    idleConnections.recordOpened(connection, gateway.clock().instant());
    connections.open(connection);
    connection.closeHandler(
        closed -> {
          idleConnections.recordClosed(connection);
          connections.remove(connection);
        });
  }

  private void handleReadiness(HttpServerRequest request) {
    boolean ready = gateway.isReady() && request.path().equals(gateway.settings().readinessPath());
    request.response().setStatusCode(ready ? STATUS_OK : STATUS_UNAVAILABLE).end();
  }

  private void handleMetrics(HttpServerRequest request) {
    request
        .response()
        .putHeader("Content-Type", "text/plain; version=0.0.4")
        .end(gateway.metrics().exposition());
  }

  private void receive(HttpServerRequest request) {
    connections.receive(request, connection -> receive(request, connection));
  }

  private void receive(HttpServerRequest request, CallerConnection connection) {
    if (closing) {
      // The process may exit at any moment, so the request must not reach a server.
      rejectForShutdown(request);
      return;
    }
    Instant receivedAt = gateway.clock().instant();
    idleConnections.recordRequestStart(request.connection());
    BodyReader reader =
        connections.start(
            request,
            connection,
            gateway.routes().limits().bodyBytes(),
            ended -> idleConnections.recordRequestEnd(request.connection(), ended));
    bodiesBeingRead++;
    reader
        .read()
        .onComplete(read -> bodiesBeingRead--)
        .onSuccess(
            result -> {
              switch (result) {
                case BodyReader.Result.Complete complete ->
                    forward(request, complete.body(), receivedAt);
                case BodyReader.Result.TooLong tooLong ->
                    reject(request, STATUS_TOO_LARGE, "the body is too long");
                case BodyReader.Result.Refused refused ->
                    refuseUnread(request, reader, refused.limit());
              }
            })
        .onFailure(cause -> LOG.debug("request_broken_off", field("cause", cause.getMessage())));
  }

  /** Refuses a request whose body has not been read, and discards what arrives of the body. */
  private void refuseUnread(HttpServerRequest request, BodyReader reader, String limit) {
    gateway.metrics().increment("cactusseam_requests_unread_total{limit=\"" + limit + "\"}");
    boolean isDraining = gateway.isDraining();
    if (isDraining) {
      putDrainingHeaders(request);
    } else {
      request.response().putHeader("Retry-After", RETRY_AFTER_UNREAD);
    }
    reject(request, STATUS_UNAVAILABLE, "the request was not read, limit: " + limit);
    connections.discardRest(
        request,
        reader,
        () -> {
          if (isDraining) {
            request.connection().close();
          }
        });
  }

  private void forward(HttpServerRequest request, Buffer body, Instant receivedAt) {
    Either<String, CallerRequest> decoded = gateway.headerCodec().decode(request);
    if (decoded.isLeft()) {
      reject(request, STATUS_BAD_REQUEST, decoded.getLeft());
      return;
    }
    CallerRequest head = decoded.get();
    switch (gateway.routes().decide(head)) {
      case RouteDecision.Accepted accepted -> start(request, body, head, accepted, receivedAt);
      case RouteDecision.NotConfigured none -> {
        request.response().putHeader("Retry-After", RETRY_AFTER_NOT_CONFIGURED);
        reject(request, STATUS_UNAVAILABLE, "no configuration is known yet");
      }
      case RouteDecision.NoRoute none -> reject(request, STATUS_NOT_FOUND, "no route");
      case RouteDecision.UnknownKey none -> reject(request, STATUS_UNAUTHORIZED, "unknown key");
    }
  }

  private void start(
      HttpServerRequest request,
      Buffer body,
      CallerRequest head,
      RouteDecision.Accepted accepted,
      Instant receivedAt) {
    Optional<GatewayService> service = chooseService(accepted.route(), head.attemptId());
    if (service.isEmpty()) {
      reject(request, STATUS_UNAVAILABLE, "the service of the route is not configured");
      return;
    }
    Exchange exchange =
        accepted.route().repetition().isStream()
            ? new StreamExchange(gateway, request, body, head, accepted, service.get(), receivedAt)
            : new BufferedExchange(
                gateway, request, body, head, accepted, service.get(), receivedAt);
    exchange.start();
  }

  /**
   * Chooses a service of the route by weight. The choice depends only on the attempt identifier.
   */
  private Optional<GatewayService> chooseService(GatewayRoute route, String attemptId) {
    int total = route.services().stream().mapToInt(each -> each.weight()).sum();
    int point = total > 0 ? Math.floorMod(attemptId.hashCode() * 31, total) : 0;
    for (GatewayRoute.WeightedService each : route.services()) {
      point -= each.weight();
      if (point < 0) {
        return gateway.routes().service(each.service());
      }
    }
    return Optional.empty();
  }

  private static void putDrainingHeaders(HttpServerRequest request) {
    request
        .response()
        .putHeader(
            "Retry-After",
            Double.toString(Exchange.RETRY_AFTER_DRAINING.toMillis() / MILLIS_PER_SECOND))
        .putHeader("Connection", "close");
  }

  private void rejectForShutdown(HttpServerRequest request) {
    putDrainingHeaders(request);
    reject(request, STATUS_UNAVAILABLE, Exchange.SHUTDOWN_REASON);
    request.connection().close();
  }

  private void reject(HttpServerRequest request, int status, String reason) {
    gateway.metrics().increment("cactusseam_rejected_total{status=\"" + status + "\"}");
    LOG.info(
        "rejected",
        field("status", status),
        field("reason", reason),
        field("host", request.authority()),
        field("path", request.path()),
        field("configuration", gateway.routes().version().orElse(-1L)));
    request.response().setStatusCode(status).putHeader("Content-Type", "text/plain");
    gateway.trackWrite(request.response().end(reason));
  }
}
