package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cactusseam.logic.gateway.RunCopies.Copy;
import org.cactusseam.model.gateway.Continuation;
import org.cactusseam.model.gateway.EngineTraits;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.ServerReply;
import org.jspecify.annotations.Nullable;

/**
 * One send of a stream to one server, with the copies of its memory that other servers hold. An
 * engine that leaves announces it shorter before its end than a stream lasts; a run without a
 * usable copy is moved then.
 */
final class StreamRun {

  /**
   * Silence after which the server is asked whether it lives. Ten times the longest pause of a
   * stream on time (SYSTEM page), and below the gap after which callers leave.
   */
  static final Duration SILENCE = Duration.ofMillis(1_200);

  private final StreamExchange exchange;
  private final Gateway gateway;
  private final ServerInstance server;
  private final Optional<ServerInstance> backup;
  private final Optional<Continuation> continuation;
  private final EventSplitter splitter;
  private @Nullable HttpClientRequest outgoing;
  private @Nullable HttpClientResponse response;
  private boolean moving;
  private boolean stopping;
  private Optional<String> endedWhileStopping = Optional.empty();
  private boolean asking;
  private boolean over;
  private Instant heardAt;

  StreamRun(
      StreamExchange exchange,
      ServerInstance server,
      Optional<ServerInstance> backup,
      Optional<Continuation> continuation) {
    this.exchange = exchange;
    this.gateway = exchange.gateway;
    this.server = server;
    this.backup = backup;
    this.continuation = continuation;
    this.splitter = new EventSplitter(event -> exchange.event(this, event));
    this.heardAt = gateway.clock().instant();
  }

  ServerInstance server() {
    return server;
  }

  Optional<ServerInstance> backup() {
    return backup;
  }

  boolean isContinuation() {
    return continuation.isPresent();
  }

  MultiMap answerHeaders() {
    return response == null
        ? MultiMap.caseInsensitiveMultiMap()
        : gateway.translation().answerHeaders(response.headers());
  }

  void start() {
    gateway.loads().started(server.id(), exchange.tokens());
    backup.ifPresent(copy -> gateway.loads().started(copy.id(), exchange.tokens()));
    gateway
        .client()
        .request(
            exchange.options(
                server,
                exchange.call(
                    server,
                    exchange.lastEventId(),
                    continuation,
                    backup.map(ServerInstance::address))))
        .onSuccess(this::connected)
        .onFailure(this::unreachable);
  }

  private void connected(HttpClientRequest request) {
    outgoing = request;
    if (over) {
      request.reset();
      return;
    }
    if (continuation.isEmpty()) {
      exchange.runs++;
    }
    request
        .response()
        .onSuccess(this::head)
        .onFailure(cause -> broken("no answer: " + cause.getMessage()));
    exchange.write(request);
  }

  private void unreachable(Throwable cause) {
    if (over) {
      return;
    }
    release();
    gateway.health().unreachable(server.id(), gateway.clock().instant());
    exchange.notRun(this, "cannot connect: " + cause.getMessage());
  }

  private void head(HttpClientResponse answer) {
    if (over) {
      return;
    }
    heardAt = gateway.clock().instant();
    response = answer;
    ServerReply reply =
        gateway
            .translation()
            .decode(answer.statusCode(), answer.headers(), exchange.head.attemptId());
    if (reply.notRun()) {
      if (continuation.isEmpty()) {
        exchange.runs--;
      }
      abort();
      exchange.notRun(this, "not run, status " + reply.status());
    } else if (!reply.isSuccess()) {
      answer
          .body()
          .onSuccess(
              content -> {
                gateway.health().failed(server.id());
                release();
                exchange.serverFailed(this, reply.status(), content);
              })
          .onFailure(cause -> broken("the answer broke off: " + cause.getMessage()));
    } else if (!reply.answersAttempt() || !reply.signed()) {
      broken("the answer is not of this request");
    } else {
      answer.handler(
          bytes -> {
            heardAt = gateway.clock().instant();
            splitter.add(bytes);
          });
      answer.exceptionHandler(cause -> broken(String.valueOf(cause.getMessage())));
      answer.endHandler(ended -> ended());
    }
  }

  private void ended() {
    if (over) {
      return;
    }
    if (!splitter.isAtEventEnd()) {
      broken("the stream ended within an event");
      return;
    }
    gateway.health().succeeded(server.id());
    release();
    exchange.completed(this);
  }

  private void broken(String reason) {
    if (over) {
      return;
    }
    abort();
    if (stopping) {
      // A run that is stopped for a move closes its stream before the engine answers the move.
      endedWhileStopping = Optional.of(reason);
      return;
    }
    gateway.health().unreachable(server.id(), gateway.clock().instant());
    backup.ifPresent(this::addBackup);
    exchange.broken(this, reason);
  }

  private void addBackup(ServerInstance holder) {
    exchange
        .copies()
        .add(new Copy(holder, new Continuation(holder.address(), exchange.head.attemptId())));
  }

  void tick(Instant now) {
    if (over || response == null) {
      return;
    }
    if (!moving && needsMove()) {
      move();
    }
    if (!asking && heardAt.plus(SILENCE).isBefore(now)) {
      askWhetherAlive();
    }
  }

  /** A move confirms that the copy is complete; a backup may not have received much yet. */
  private boolean needsMove() {
    boolean moves = exchange.service.engine().filter(EngineTraits::movesRuns).isPresent();
    return moves
        && !exchange.route.repetition().isRepeatable()
        && !gateway.servers().isUsable(server);
  }

  private void move() {
    Optional<ServerInstance> target = gateway.placement().chooseBackup(exchange.need(), server);
    if (target.isEmpty()) {
      return;
    }
    moving = true;
    ServerInstance to = target.get();
    exchange.log.info("move_started", field("server", server.id()), field("to", to.id()));
    gateway
        .engines()
        .move(server, exchange.head.attemptId(), to, false)
        .onSuccess(result -> copied(result, to))
        .onFailure(cause -> moveFailed(to, String.valueOf(cause.getMessage())));
  }

  private void copied(EngineCalls.MoveResult result, ServerInstance to) {
    if (over) {
      return;
    }
    if (!(result instanceof EngineCalls.MoveResult.Copied)) {
      moveFailed(to, result.toString());
      return;
    }
    stopping = true;
    gateway
        .engines()
        .move(server, exchange.head.attemptId(), to, true)
        .onSuccess(last -> stopped(last, to))
        .onFailure(cause -> stopFailed(to, String.valueOf(cause.getMessage())));
  }

  private void stopped(EngineCalls.MoveResult result, ServerInstance to) {
    switch (result) {
      case EngineCalls.MoveResult.Copied copy -> addMoved(to, copy.handle());
      case EngineCalls.MoveResult.StoppedAtSource copy -> addMoved(server, copy.handle());
      case EngineCalls.MoveResult.Rejected rejected -> {
        stopFailed(to, rejected.reason());
        return;
      }
    }
    stopping = false;
    exchange.log.info("moved", field("server", server.id()), field("to", to.id()));
    abort();
    exchange.broken(this, "moved");
  }

  private void addMoved(ServerInstance holder, String handle) {
    backup.ifPresent(this::addBackup);
    exchange.copies().add(new Copy(holder, new Continuation(server.address(), handle)));
  }

  private void stopFailed(ServerInstance to, String reason) {
    stopping = false;
    moveFailed(to, reason);
    endedWhileStopping.ifPresent(
        ended -> {
          backup.ifPresent(this::addBackup);
          exchange.broken(this, ended);
        });
  }

  private void moveFailed(ServerInstance to, String reason) {
    exchange.log.info(
        "move_failed", field("server", server.id()), field("to", to.id()), field("reason", reason));
    // The next tick tries again, with another server if this one is full or gone by then.
    moving = false;
  }

  private void askWhetherAlive() {
    asking = true;
    gateway
        .engines()
        .report(server)
        .onSuccess(
            report -> {
              asking = false;
              heardAt = gateway.clock().instant();
            })
        .onFailure(cause -> broken("silent and does not answer: " + cause.getMessage()));
  }

  void pause() {
    if (response != null) {
      response.pause();
    }
  }

  void resume() {
    if (response != null) {
      response.resume();
    }
  }

  /** Ends the run at the server by closing its connection. */
  void abort() {
    release();
    if (outgoing != null) {
      outgoing.connection().close();
    }
  }

  private void release() {
    if (over) {
      return;
    }
    over = true;
    gateway.loads().ended(server.id(), exchange.tokens());
    backup.ifPresent(copy -> gateway.loads().ended(copy.id(), exchange.tokens()));
    gateway.vertx().runOnContext(ignored -> gateway.offerPlaces());
  }
}
