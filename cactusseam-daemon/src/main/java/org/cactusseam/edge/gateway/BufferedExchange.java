package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cactusseam.edge.backend.BoundedBody;
import org.cactusseam.logic.gateway.RouteDecision;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.ServerReply;
import org.jspecify.annotations.Nullable;

/**
 * A request whose response is buffered until it is complete. The caller never receives a truncated
 * response, and a repeatable request can still be retried on another server after a part of the
 * response has arrived.
 */
final class BufferedExchange extends Exchange {

  /**
   * An attempt of a repeatable request is abandoned if the response is not complete after this many
   * target latencies of the route.
   */
  private static final int ATTEMPT_TIMEOUT_TARGET_LATENCIES = 2;

  /** Maximum length of a buffered response, a small part of the memory of a process. */
  static final int MAX_RESPONSE_BYTES = 8 << 20;

  private @Nullable Attempt current;
  private @Nullable CompleteResponse failure;
  private boolean hasBegun;

  private record CompleteResponse(ServerReply reply, HttpClientResponse response, Buffer body) {}

  BufferedExchange(
      Gateway gateway,
      HttpServerRequest incoming,
      Buffer body,
      CallerRequest head,
      RouteDecision.Accepted accepted,
      GatewayService service,
      Instant receivedAt) {
    super(gateway, incoming, body, head, accepted, service, receivedAt);
  }

  @Override
  void send(ServerInstance server) {
    recordSend(server);
    current = new Attempt(server);
    current.start();
  }

  @Override
  void cancel() {
    if (current != null) {
      current.abort();
    }
  }

  @Override
  boolean hasBegun() {
    return hasBegun;
  }

  @Override
  void endUnserved(String reason) {
    if (failure != null) {
      deliver(failure);
    } else if (runs == 0) {
      refuse(reason);
    } else {
      failMayHaveRun(reason);
    }
  }

  @Override
  void onDeadline() {
    if (failure != null) {
      deliver(failure);
    } else if (runs == 0) {
      refuse("no server within the time limit");
    } else {
      failTimeout("no answer within the time limit");
    }
    cancel();
  }

  private boolean canRunAgain() {
    return route.repetition().isRepeatable() && runs < route.maximumRuns();
  }

  private void retryOrFail(ServerInstance attempted, String reason) {
    if (isFinished()) {
      return;
    }
    excluded.add(attempted.id());
    boolean canRetry = runs == 0 || canRunAgain();
    if (canRetry
        && gateway.serverSelector().isServable(requirements())
        && tryRetry("retry", attempted, reason)) {
      sendOrEnqueue();
    } else {
      endUnserved(reason);
    }
  }

  private void deliver(CompleteResponse complete) {
    if (isFinished()) {
      return;
    }
    if (isFalsePromise(complete.reply().status())) {
      failMayHaveRun("the server answered with status " + complete.reply().status());
      return;
    }
    logEnd(
        "answered", complete.reply().status(), complete.reply().isSuccess() ? "whole" : "failure");
    finish();
    incoming.response().setStatusCode(complete.reply().status());
    incoming
        .response()
        .headers()
        .addAll(gateway.headerCodec().responseHeaders(complete.response().headers()));
    addCloseHeader();
    endResponse(complete.body());
  }

  /** One attempt of the request at one server. */
  private final class Attempt {
    private final ServerInstance server;
    private @Nullable HttpClientRequest outgoing;
    private long attemptTimer = -1;
    private boolean released;
    private boolean headReceived;
    private final Instant startedAt = gateway.clock().instant();

    Attempt(ServerInstance server) {
      this.server = server;
    }

    void start() {
      gateway.loads().addRun(server.id(), 0);
      gateway
          .client()
          .request(
              requestOptions(server, createServerCall(server, Optional.empty(), Optional.empty())))
          .onSuccess(this::onConnected)
          .onFailure(cause -> onUnreachable(cause.toString()));
    }

    private void onConnected(HttpClientRequest request) {
      outgoing = request;
      if (released) {
        request.reset();
        return;
      }
      runs++;
      if (canRunAgain()) {
        Duration attemptTimeout =
            route.targetLatency().multipliedBy(ATTEMPT_TIMEOUT_TARGET_LATENCIES);
        attemptTimer = gateway.vertx().setTimer(attemptTimeout.toMillis(), timer -> onSilent());
      }
      request
          .response()
          .onSuccess(this::onResponse)
          .onFailure(cause -> onBroken("no answer: " + cause.getMessage()));
      sendBody(request);
    }

    private void onResponse(HttpClientResponse response) {
      if (released) {
        return;
      }
      ServerReply reply =
          gateway
              .headerCodec()
              .decode(response.statusCode(), response.headers(), head.attemptId(), server.id());
      if (reply.notRun()) {
        recordStatement(server, reply);
        runs--;
        release();
        abortConnection();
        retryOrFail(server, "not run, status " + reply.status());
        return;
      }
      if (reply.isIgnoredStatement()) {
        recordStatement(server, reply);
        onBroken("a statement that cannot be believed, status " + reply.status());
        return;
      }
      if (reply.isInterim()) {
        onBroken("interim status " + reply.status() + " in place of an answer");
        return;
      }
      if (!reply.answersAttempt() || (reply.isSuccess() && !reply.signed())) {
        onBroken("the answer is not of this request");
        return;
      }
      hasBegun = true;
      headReceived = true;
      BoundedBody.read(response, MAX_RESPONSE_BYTES)
          .onSuccess(content -> onComplete(new CompleteResponse(reply, response, content)))
          .onFailure(cause -> onBroken("the answer broke off: " + cause.getMessage()));
    }

    private void onComplete(CompleteResponse complete) {
      if (released) {
        return;
      }
      release();
      recordAnswered();
      if (complete.reply().status() >= 500) {
        gateway.health().recordFailure(server.id());
        recordOutcome(Rollouts.Outcome.FAILURE);
        failure = complete;
        retryOrFail(server, "status " + complete.reply().status());
        return;
      }
      gateway.health().recordSuccess(server.id());
      recordOutcome(Rollouts.Outcome.SUCCESS);
      deliver(complete);
    }

    private void onUnreachable(String reason) {
      if (released) {
        return;
      }
      release();
      gateway.health().recordUnreachable(server.id(), gateway.clock().instant());
      recordOutcome(Rollouts.Outcome.FAILURE);
      log.info("unreachable", field("server", server.id()), field("reason", reason));
      retryOrFail(server, "cannot connect");
    }

    private void onBroken(String reason) {
      if (released) {
        return;
      }
      release();
      abortConnection();
      gateway.health().recordFailure(server.id());
      recordOutcome(Rollouts.Outcome.FAILURE);
      log.info("broken", field("server", server.id()), field("reason", reason));
      recordUnanswered(server, headReceived)
          .onComplete(checked -> retryOrFail(server, "the server broke off"));
    }

    private void onSilent() {
      if (released) {
        return;
      }
      release();
      abortConnection();
      gateway.health().recordFailure(server.id());
      recordOutcome(Rollouts.Outcome.FAILURE);
      log.info("broken", field("server", server.id()), field("reason", "silent"));
      retryOrFail(server, "the server is silent");
    }

    private void recordOutcome(Rollouts.Outcome outcome) {
      gateway.rollouts().recordOutcome(route, server, outcome, startedAt);
    }

    void abort() {
      if (!released) {
        recordOutcome(Rollouts.Outcome.ABORTED);
        release();
        abortConnection();
      }
    }

    private void abortConnection() {
      if (outgoing != null) {
        outgoing.connection().close();
      }
    }

    private void release() {
      released = true;
      current = null;
      gateway.vertx().cancelTimer(attemptTimer);
      gateway.loads().removeRun(server.id(), 0);
      gateway.vertx().runOnContext(ignored -> gateway.startQueued());
    }
  }
}
