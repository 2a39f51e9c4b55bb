package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cactusseam.logic.gateway.RouteDecision;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.ServerReply;
import org.jspecify.annotations.Nullable;

/**
 * A request that is answered whole. The answer is held until it is complete, so that a caller never
 * takes a part of one for the whole, and a repeatable request can still go to another server.
 */
final class BufferedExchange extends Exchange {

  /** Target latencies after which a silent server of a repeatable request is given up. */
  private static final int SILENCE_TARGETS = 2;

  private @Nullable Attempt current;
  private @Nullable CompleteAnswer failure;

  private record CompleteAnswer(ServerReply reply, HttpClientResponse response, Buffer body) {}

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
    countSend(server);
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
  void noPlace() {
    if (failure != null) {
      deliver(failure);
    } else if (runs > 0) {
      failMayHaveRun("no server for another attempt");
    } else {
      refuse("all servers are busy");
    }
  }

  @Override
  void timedOut() {
    if (failure != null) {
      deliver(failure);
    } else if (runs == 0) {
      refuse("no server within the time limit");
    } else {
      failTimeout("no answer within the time limit");
    }
    cancel();
  }

  private boolean mayRunAgain() {
    return route.repetition().isRepeatable() && runs < route.maximumRuns();
  }

  private void again(ServerInstance tried, String reason) {
    excluded.add(tried.id());
    boolean mayRun = runs == 0 || mayRunAgain();
    if (mayRun && gateway.placement().isServable(need()) && gateway.tryRetry(service.name())) {
      log.info("retry", field("after", tried.id()), field("reason", reason));
      seekPlace();
    } else if (failure != null) {
      deliver(failure);
    } else if (runs == 0) {
      refuse(reason);
    } else {
      failMayHaveRun(reason);
    }
  }

  private void deliver(CompleteAnswer answer) {
    if (isFinished()) {
      return;
    }
    logEnd("answered", answer.reply().status(), answer.reply().isSuccess() ? "whole" : "failure");
    finish();
    incoming.response().setStatusCode(answer.reply().status());
    incoming
        .response()
        .headers()
        .addAll(gateway.translation().answerHeaders(answer.response().headers()));
    announceClose();
    incoming.response().end(answer.body());
    closeIfDraining();
  }

  /** One send to one server. */
  private final class Attempt {
    private final ServerInstance server;
    private @Nullable HttpClientRequest outgoing;
    private long silenceTimer = -1;
    private boolean over;

    Attempt(ServerInstance server) {
      this.server = server;
    }

    void start() {
      gateway.loads().addRun(server.id(), 0);
      gateway
          .client()
          .request(options(server, call(server, Optional.empty(), Optional.empty())))
          .onSuccess(this::connected)
          .onFailure(cause -> unreachable(cause.toString()));
    }

    private void connected(HttpClientRequest request) {
      outgoing = request;
      if (over) {
        request.reset();
        return;
      }
      runs++;
      if (mayRunAgain()) {
        Duration silence = route.targetLatency().multipliedBy(SILENCE_TARGETS);
        silenceTimer = gateway.vertx().setTimer(silence.toMillis(), timer -> broken("silent"));
      }
      request
          .response()
          .onSuccess(this::head)
          .onFailure(cause -> broken("no answer: " + cause.getMessage()));
      write(request);
    }

    private void head(HttpClientResponse response) {
      if (over) {
        return;
      }
      ServerReply reply =
          gateway.translation().decode(response.statusCode(), response.headers(), head.attemptId());
      if (reply.notRun()) {
        runs--;
        end();
        abortConnection();
        again(server, "not run, status " + reply.status());
        return;
      }
      if (!reply.answersAttempt() || (reply.isSuccess() && !reply.signed())) {
        broken("the answer is not of this request");
        return;
      }
      response
          .body()
          .onSuccess(content -> complete(new CompleteAnswer(reply, response, content)))
          .onFailure(cause -> broken("the answer broke off: " + cause.getMessage()));
    }

    private void complete(CompleteAnswer answer) {
      if (over) {
        return;
      }
      end();
      if (answer.reply().status() >= 500) {
        gateway.health().recordFailure(server.id());
        failure = answer;
        again(server, "status " + answer.reply().status());
        return;
      }
      gateway.health().recordSuccess(server.id());
      deliver(answer);
    }

    private void unreachable(String reason) {
      if (over) {
        return;
      }
      end();
      gateway.health().recordUnreachable(server.id(), gateway.clock().instant());
      log.info("unreachable", field("server", server.id()), field("reason", reason));
      again(server, "cannot connect");
    }

    private void broken(String reason) {
      if (over) {
        return;
      }
      end();
      abortConnection();
      gateway.health().recordFailure(server.id());
      log.info("broken", field("server", server.id()), field("reason", reason));
      again(server, "the server broke off");
    }

    void abort() {
      if (!over) {
        end();
        abortConnection();
      }
    }

    private void abortConnection() {
      if (outgoing != null) {
        outgoing.connection().close();
      }
    }

    private void end() {
      over = true;
      current = null;
      gateway.vertx().cancelTimer(silenceTimer);
      gateway.loads().removeRun(server.id(), 0);
      gateway.vertx().runOnContext(ignored -> gateway.offerPlaces());
    }
  }
}
