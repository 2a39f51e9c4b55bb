package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.edge.backend.BoundedBody;
import org.cactusseam.logic.gateway.RouteDecision;
import org.cactusseam.logic.hedging.HedgeDecision;
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

  /**
   * Attempts whose end has not been handled yet: at most two, the second of which is a hedged one.
   * An attempt that broke off stays here while its server is checked for a crash.
   */
  private final Set<Attempt> open = new LinkedHashSet<>();

  private @Nullable Attempt first;
  private @Nullable CompleteResponse failure;
  private boolean hasBegun;
  private boolean isHedgeable;
  private boolean isHedged;
  private boolean isAnswered;

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
    boolean isFirst = first == null;
    Attempt attempt = startAttempt(server);
    if (isFirst) {
      first = attempt;
      isHedgeable = gateway.hedging().appliesTo(this);
      if (isHedgeable) {
        gateway.hedging().recordFirst(this).ifPresent(attempt::scheduleHedge);
      }
    }
  }

  private Attempt startAttempt(ServerInstance server) {
    recordSend(server);
    Attempt attempt = new Attempt(server);
    open.add(attempt);
    attempt.start();
    return attempt;
  }

  @Override
  void cancel() {
    List.copyOf(open).forEach(Attempt::abort);
    open.clear();
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
    return route.repetition().isRepeatable() && runs < route.maximumRuns() && !isSuspected();
  }

  /** Handles the failure of an attempt, unless another attempt can still answer the request. */
  private void retryOrFail(Attempt failed, String reason) {
    open.remove(failed);
    if (isFinished()) {
      return;
    }
    ServerInstance attempted = failed.server;
    excluded.add(attempted.id());
    if (!open.isEmpty()) {
      log.info("attempt_failed", field("server", attempted.id()), field("reason", reason));
      open.forEach(Attempt::limitSilence);
      return;
    }
    boolean canRetry = runs == 0 || canRunAgain();
    if (canRetry
        && gateway.serverSelector().isServable(requirements())
        && tryRetry("retry", attempted, reason)) {
      sendOrEnqueue();
    } else {
      endUnserved(reason);
    }
  }

  /** Sends the request to a second server as well if its first attempt is slow. */
  private void considerHedge(Attempt slow, Instant dueAt) {
    if (isFinished() || hasBegun || !slow.isRunning()) {
      return;
    }
    endIfQuarantined();
    if (isFinished()) {
      return;
    }
    switch (gateway.hedging().decide(this, slow.server, slow.sentAt, dueAt)) {
      case HedgeDecision.Send second -> {
        isHedged = true;
        startAttempt(second.server());
      }
      case HedgeDecision.Wait later -> slow.scheduleHedgeIn(later.delay());
      case HedgeDecision.Denied no -> {
        // The first attempt goes on alone; RequestHedging has logged the reason.
      }
    }
  }

  /**
   * Records the time of the attempt that answered the request, and that of the first one if it was
   * slower.
   */
  private void recordTimes(Attempt winner) {
    if (!isHedgeable) {
      return;
    }
    gateway.hedging().recordResponse(this, winner.server, winner.sentAt);
    if (open.stream().anyMatch(Attempt::isRunning)) {
      gateway.hedging().recordWinner(this, winner != first);
      if (first != null && winner != first && first.isRunning()) {
        gateway.hedging().recordResponse(this, first.server, first.sentAt);
      }
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
    private final Instant sentAt = gateway.clock().instant();
    private @Nullable HttpClientRequest outgoing;
    private @Nullable Instant connectedAt;
    private long attemptTimer = -1;
    private long hedgeTimer = -1;
    private boolean released;
    private boolean headReceived;
    private boolean isPastLimit;
    private boolean hasLost;

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

    /** Returns whether the attempt can still answer the request. */
    boolean isRunning() {
      return !released;
    }

    void scheduleHedge(Duration age) {
      scheduleHedgeIn(age.minus(Duration.between(sentAt, gateway.clock().instant())));
    }

    void scheduleHedgeIn(Duration delay) {
      long delayMillis = Math.max(1, delay.toMillis());
      Instant dueAt = gateway.clock().instant().plusMillis(delayMillis);
      hedgeTimer = gateway.vertx().setTimer(delayMillis, timer -> considerHedge(this, dueAt));
    }

    private void onConnected(HttpClientRequest request) {
      outgoing = request;
      if (released) {
        request.reset();
        return;
      }
      runs++;
      connectedAt = gateway.clock().instant();
      if (canRunAgain()) {
        startSilenceTimer(Duration.ZERO);
      }
      request
          .response()
          .onSuccess(this::onResponse)
          .onFailure(cause -> onBroken("no answer: " + cause.getMessage()));
      sendBody(request);
    }

    /** Starts the timer again, because the attempt may now be the only one. */
    void limitSilence() {
      if (!released && connectedAt != null && canRunAgain()) {
        startSilenceTimer(Duration.between(connectedAt, gateway.clock().instant()));
      }
    }

    private Duration silenceLimit() {
      return route.targetLatency().multipliedBy(ATTEMPT_TIMEOUT_TARGET_LATENCIES);
    }

    private void startSilenceTimer(Duration elapsed) {
      Duration attemptTimeout = silenceLimit().minus(elapsed);
      gateway.vertx().cancelTimer(attemptTimer);
      attemptTimer =
          gateway.vertx().setTimer(Math.max(1, attemptTimeout.toMillis()), timer -> onSilent());
    }

    private void onResponse(HttpClientResponse response) {
      if (released) {
        return;
      }
      ServerReply reply = gateway.decodeReply(response, head.attemptId(), server, sentAt);
      if (reply.notRun()) {
        recordStatement(server, reply);
        runs--;
        release();
        abortConnection();
        retryOrFail(this, "not run, status " + reply.status());
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
      int status = complete.reply().status();
      // After two attempts, the refusal of one server says nothing about the other run.
      boolean isRefusalOfOne = isHedged && ServerReply.isRefusal(status);
      if (status >= 500 || isRefusalOfOne) {
        gateway.health().recordFailure(server.id());
        recordOutcome(isRefusalOfOne ? Rollouts.Outcome.ABORTED : Rollouts.Outcome.FAILURE);
        if (!isRefusalOfOne) {
          failure = complete;
        }
        retryOrFail(this, "status " + status);
        return;
      }
      gateway.health().recordSuccess(server.id());
      recordOutcome(Rollouts.Outcome.SUCCESS);
      if (complete.reply().isSuccess() && connectedAt != null) {
        gateway.recordDuration(server, route, connectedAt, complete.reply().paceOfServer());
      }
      open.remove(this);
      isAnswered = isHedged;
      recordTimes(this);
      deliver(complete);
      open.forEach(Attempt::lose);
      cancel();
    }

    private void onUnreachable(String reason) {
      if (released && !hasLost) {
        return;
      }
      gateway.health().recordUnreachable(server.id(), gateway.clock().instant());
      recordOutcome(Rollouts.Outcome.FAILURE);
      log.info("unreachable", field("server", server.id()), field("reason", reason));
      if (!released) {
        release();
        retryOrFail(this, "cannot connect");
      }
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
          .onComplete(
              checked -> {
                if (isAnswered) {
                  // The check has recorded its suspicion after the other attempt disproved it.
                  recordAnswered();
                }
                retryOrFail(this, "the server broke off");
              });
    }

    private void onSilent() {
      if (released) {
        return;
      }
      isPastLimit = true;
      if (open.stream().allMatch(each -> each.isRunning() && each.isPastLimit)) {
        // The timer of a remaining attempt starts again when this one is removed.
        open.iterator().next().giveUp();
      }
    }

    private void giveUp() {
      if (isHedgeable) {
        gateway.hedging().recordResponse(BufferedExchange.this, server, sentAt);
      }
      release();
      abortConnection();
      gateway.health().recordFailure(server.id());
      recordOutcome(Rollouts.Outcome.FAILURE);
      log.info("broken", field("server", server.id()), field("reason", "silent"));
      retryOrFail(this, "the server is silent");
    }

    /**
     * Ends the attempt because the other one was faster, and records what is known of its server.
     */
    private void lose() {
      if (released) {
        return;
      }
      hasLost = true;
      if (connectedAt != null
          && !headReceived
          && gateway.clock().instant().isAfter(connectedAt.plus(silenceLimit()))) {
        gateway.health().recordFailure(server.id());
        log.info("broken", field("server", server.id()), field("reason", "silent"));
      }
      abort();
    }

    private void recordOutcome(Rollouts.Outcome outcome) {
      gateway.rollouts().recordOutcome(route, server, outcome, sentAt);
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
      gateway.vertx().cancelTimer(attemptTimer);
      gateway.vertx().cancelTimer(hedgeTimer);
      gateway.loads().removeRun(server.id(), 0);
      gateway.vertx().runOnContext(ignored -> gateway.startQueued());
    }
  }
}
