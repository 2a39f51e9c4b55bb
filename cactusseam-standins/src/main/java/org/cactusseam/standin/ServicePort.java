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
 * The listening socket of a service, which faults close and open again. A closed socket makes the
 * operating system refuse connections, as it does for a process that has ended.
 */
final class ServicePort {

  /** Why the socket is closed. It opens when no reason is left. */
  enum Reason {
    /** The process has crashed. */
    CRASH,
    /** A fault refuses new connections. */
    REFUSAL
  }

  private static final Logger LOG = Logger.getLogger(ServicePort.class);
  private static final int OPEN_ATTEMPTS = 100;
  private static final long RETRY_MS = 50;
  private static final long LONGEST_DRAIN_MINUTES = 60;

  private final Vertx vertx;
  private final Handler<HttpServerRequest> handler;
  private final String host;
  private final Set<Reason> closedFor = EnumSet.noneOf(Reason.class);
  private final List<HttpServer> servers = new ArrayList<>();
  private final Map<HttpConnection, HttpServerResponse> lastResponses = new HashMap<>();
  private int port;
  private Future<?> lastChange = Future.succeededFuture();

  ServicePort(Vertx vertx, Handler<HttpServerRequest> handler, String host, int port) {
    this.vertx = vertx;
    this.handler = handler;
    this.host = host;
    this.port = port;
  }

  Future<Integer> open() {
    // HTTP/2 would carry several requests in one connection, of which a drop would miss some.
    HttpServerOptions options = new HttpServerOptions().setHttp2ClearTextEnabled(false);
    return vertx
        .createHttpServer(options)
        .connectionHandler(this::forgetWhenClosed)
        .requestHandler(this::handle)
        .listen(port, host)
        .map(
            listening -> {
              servers.add(listening);
              port = listening.actualPort();
              if (!closedFor.isEmpty()) {
                // The refusal began after the socket was open and before this was known.
                shutDown(listening);
              }
              return port;
            });
  }

  int port() {
    return port;
  }

  /** Closes the socket and drops every connection. */
  void drop(Reason reason) {
    closedFor.add(reason);
    chain(this::closeAll);
  }

  /** Closes the socket; requests that run keep their connections. */
  void drain(Reason reason) {
    if (closedFor.add(reason)) {
      List.copyOf(servers).forEach(ServicePort::shutDown);
    }
  }

  private static void shutDown(HttpServer server) {
    server.shutdown(LONGEST_DRAIN_MINUTES, TimeUnit.MINUTES);
  }

  /** Removes a reason and listens again if it was the last one. */
  void reopen(Reason reason) {
    if (closedFor.remove(reason) && closedFor.isEmpty()) {
      chain(() -> openWithRetry(OPEN_ATTEMPTS));
    }
  }

  private void chain(Supplier<Future<?>> change) {
    lastChange = lastChange.transform(ignored -> change.get().mapEmpty());
  }

  private void handle(HttpServerRequest request) {
    lastResponses.put(request.connection(), request.response());
    handler.handle(request);
  }

  private void forgetWhenClosed(HttpConnection connection) {
    connection.closeHandler(closed -> lastResponses.remove(connection));
  }

  private static void reset(HttpServerResponse response) {
    if (!response.ended() && !response.closed()) {
      response.reset();
    }
  }

  private Future<?> closeAll() {
    List<HttpServer> closing = List.copyOf(servers);
    servers.clear();
    List<Future<Void>> closed =
        closing.stream().map(server -> server.shutdown(0, TimeUnit.SECONDS)).toList();
    // A shutdown does not shorten an earlier one of the same server, so it would keep the
    // connections that drain; their requests are reset one by one.
    List.copyOf(lastResponses.values()).forEach(ServicePort::reset);
    return Future.join(closed);
  }

  /** Another process may hold the port for a moment, because nothing reserves it. */
  private Future<?> openWithRetry(int attempts) {
    if (!closedFor.isEmpty()) {
      return Future.succeededFuture();
    }
    return open()
        .recover(
            error -> {
              if (attempts <= 1) {
                LOG.errorf(error, "port %d cannot be opened again", port);
                return Future.failedFuture(error);
              }
              Promise<Integer> retried = Promise.promise();
              vertx.setTimer(
                  RETRY_MS,
                  timer ->
                      openWithRetry(attempts - 1)
                          .mapEmpty()
                          .onComplete(x -> retried.tryComplete(port)));
              return retried.future();
            });
  }
}
