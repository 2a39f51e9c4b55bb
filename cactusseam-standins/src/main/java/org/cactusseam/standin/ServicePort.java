package org.cactusseam.standin;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Manages the listening socket of a simulated service, which faults close and reopen. While the
 * socket is closed, the operating system refuses connections as it does after the end of a process.
 * All methods must be called on the event loop of the stand-in.
 */
final class ServicePort {

  /**
   * Reasons for which the socket is closed. It is reopened when the last reason has been removed.
   */
  enum Reason {
    /** The simulated process has crashed and has not restarted yet. */
    CRASH,
    /** A fault is set that refuses new connections. */
    REFUSAL
  }

  private static final Logger LOG = Logger.getLogger(ServicePort.class);
  private static final int OPEN_ATTEMPTS = 100;
  private static final long OPEN_RETRY_INTERVAL_MS = 50;
  private static final long MAX_DRAIN_MINUTES = 60;

  private final Vertx vertx;
  private final Handler<HttpServerRequest> handler;
  private final String host;
  private final Set<Reason> closeReasons = EnumSet.noneOf(Reason.class);
  private final List<HttpServer> servers = new ArrayList<>();
  private final Map<HttpConnection, HttpServerResponse> lastResponses = new HashMap<>();
  private int port;
  private Future<?> lastTransition = Future.succeededFuture();

  ServicePort(Vertx vertx, Handler<HttpServerRequest> handler, String host, int port) {
    this.vertx = vertx;
    this.handler = handler;
    this.host = host;
    this.port = port;
  }

  Future<Integer> open() {
    // HTTP/2 multiplexes requests over one connection, but only the last response of each
    // connection is tracked, so dropping connections would miss the others.
    HttpServerOptions options = new HttpServerOptions().setHttp2ClearTextEnabled(false);
    return vertx
        .createHttpServer(options)
        .connectionHandler(this::removeWhenClosed)
        .requestHandler(this::handle)
        .listen(port, host)
        .map(
            listening -> {
              servers.add(listening);
              port = listening.actualPort();
              if (!closeReasons.isEmpty()) {
                // The port was closed between the opening of the socket and this callback.
                drainConnections(listening);
              }
              return port;
            });
  }

  int port() {
    return port;
  }

  /** Closes the socket and resets all connections. */
  void drop(Reason reason) {
    closeReasons.add(reason);
    enqueueTransition(this::closeAndResetAll);
  }

  /** Closes the socket but leaves connections open for the requests in progress. */
  void drain(Reason reason) {
    if (closeReasons.add(reason)) {
      List.copyOf(servers).forEach(ServicePort::drainConnections);
    }
  }

  private static void drainConnections(HttpServer server) {
    server.shutdown(MAX_DRAIN_MINUTES, TimeUnit.MINUTES);
  }

  /** Removes a reason and reopens the socket if no other reason is left. */
  void reopen(Reason reason) {
    if (closeReasons.remove(reason) && closeReasons.isEmpty()) {
      enqueueTransition(() -> openWithRetry(OPEN_ATTEMPTS));
    }
  }

  private void enqueueTransition(Supplier<Future<?>> change) {
    lastTransition = lastTransition.transform(ignored -> change.get().mapEmpty());
  }

  private void handle(HttpServerRequest request) {
    lastResponses.put(request.connection(), request.response());
    handler.handle(request);
  }

  private void removeWhenClosed(HttpConnection connection) {
    connection.closeHandler(closed -> lastResponses.remove(connection));
  }

  private static void reset(HttpServerResponse response) {
    if (!response.ended() && !response.closed()) {
      response.reset();
    }
  }

  private Future<?> closeAndResetAll() {
    List<HttpServer> closing = List.copyOf(servers);
    servers.clear();
    List<Future<Void>> closed =
        closing.stream().map(server -> server.shutdown(0, TimeUnit.SECONDS)).toList();
    // A second shutdown does not shorten the drain of an earlier one, so connections that are
    // draining would stay open; their responses are therefore reset individually.
    List.copyOf(lastResponses.values()).forEach(ServicePort::reset);
    return Future.join(closed);
  }

  /**
   * Reopens the socket, with retries because another process may briefly have bound the port, which
   * is not reserved while closed.
   */
  private Future<?> openWithRetry(int attempts) {
    if (!closeReasons.isEmpty()) {
      return Future.succeededFuture();
    }
    return open()
        .recover(
            error -> {
              if (attempts <= 1) {
                LOG.errorf(error, "cannot reopen port %d", port);
                return Future.failedFuture(error);
              }
              Promise<Integer> retried = Promise.promise();
              vertx.setTimer(
                  OPEN_RETRY_INTERVAL_MS,
                  timer ->
                      openWithRetry(attempts - 1)
                          .mapEmpty()
                          .onComplete(x -> retried.tryComplete(port)));
              return retried.future();
            });
  }
}
