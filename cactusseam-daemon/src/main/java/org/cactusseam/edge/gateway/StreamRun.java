package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.time.Instant;
import java.util.Optional;
import org.cactusseam.logic.gateway.StreamStallDetector;
import org.cactusseam.model.gateway.EngineCapabilities;
import org.cactusseam.model.gateway.KvCopyReference;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.ServerReply;
import org.jspecify.annotations.Nullable;

/**
 * One send of a stream to one server, with the copies of its memory that other servers hold. An
 * engine that leaves announces it shorter before its end than a stream lasts; a run without a
 * usable copy is moved then.
 */
final class StreamRun {

  private final StreamExchange exchange;
  private final Gateway gateway;
  private final ServerInstance server;
  private final Optional<KvCopyReference> continuation;
  private final EventSplitter splitter;
  private final KvCopier copier;
  private @Nullable HttpClientRequest outgoing;
  private @Nullable HttpClientResponse response;
  private final StreamStallDetector silence;
  private boolean over;
  private int unreadTokens;

  StreamRun(
      StreamExchange exchange, ServerInstance server, Optional<KvCopyReference> continuation) {
    this.exchange = exchange;
    this.gateway = exchange.gateway;
    this.server = server;
    this.continuation = continuation;
    this.copier = new KvCopier(exchange, server);
    this.splitter = new EventSplitter(this::event);
    this.silence = new StreamStallDetector(exchange.route, gateway.clock().instant());
  }

  ServerInstance server() {
    return server;
  }

  boolean isContinuation() {
    return continuation.isPresent();
  }

  MultiMap answerHeaders() {
    return response == null
        ? MultiMap.caseInsensitiveMultiMap()
        : gateway.translation().answerHeaders(response.headers());
  }

  private void event(EventSplitter.Event event) {
    promptRead();
    exchange.event(this, event);
  }

  private void promptRead() {
    gateway.loads().endPrefill(server.id(), unreadTokens);
    unreadTokens = 0;
  }

  void start() {
    gateway.loads().addRun(server.id(), exchange.tokens());
    if (continuation.isEmpty()) {
      unreadTokens = exchange.promptTokens();
      gateway.loads().startPrefill(server.id(), unreadTokens);
    }
    gateway
        .client()
        .request(
            exchange.options(server, exchange.call(server, exchange.lastEventId(), continuation)))
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
    gateway.health().recordUnreachable(server.id(), gateway.clock().instant());
    exchange.notRun(this, "cannot connect: " + cause.getMessage());
  }

  private void head(HttpClientResponse answer) {
    if (over) {
      return;
    }
    silence.recordActivity(gateway.clock().instant());
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
                if (over) {
                  return;
                }
                gateway.health().recordFailure(server.id());
                release();
                exchange.serverFailed(this, reply.status(), content);
              })
          .onFailure(cause -> broken("the answer broke off: " + cause.getMessage()));
    } else if (!reply.answersAttempt() || !reply.signed()) {
      broken("the answer is not of this request");
    } else {
      answer.handler(
          bytes -> {
            silence.recordActivity(gateway.clock().instant());
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
    gateway.health().recordSuccess(server.id());
    release();
    exchange.completed(this);
  }

  private void broken(String reason) {
    if (over) {
      return;
    }
    abort();
    gateway.health().recordUnreachable(server.id(), gateway.clock().instant());
    copier.copy().ifPresent(exchange.copies()::add);
    exchange.broken(this, reason);
  }

  void tick(Instant now) {
    if (over || outgoing == null) {
      return;
    }
    if (response != null && isCopied()) {
      copier.tick(now);
    }
    if (silence.tryStartProbe(now)) {
      askWhetherAlive();
    }
  }

  boolean isCopied() {
    return !exchange.route.repetition().isRepeatable()
        && exchange.service.engine().filter(EngineCapabilities::supportsKvCopy).isPresent();
  }

  private void askWhetherAlive() {
    gateway
        .engines()
        .report(server)
        .onFailure(
            cause -> {
              boolean canContinue = copier.hasUsableCopy() || exchange.mayRunAgain();
              boolean ended = silence.isTimedOut(canContinue, gateway.clock().instant());
              exchange.log.info(
                  "stream_silent",
                  field("server", server.id()),
                  field("cause", cause.getMessage()),
                  field("can_continue", canContinue),
                  field("given_up", ended));
              if (ended) {
                broken("silent and does not answer: " + cause.getMessage());
              }
            });
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
    promptRead();
    gateway.loads().removeRun(server.id(), exchange.tokens());
    copier.close();
    gateway.vertx().runOnContext(ignored -> gateway.offerPlaces());
  }
}
