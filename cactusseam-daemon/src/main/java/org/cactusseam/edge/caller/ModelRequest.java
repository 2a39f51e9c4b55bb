package org.cactusseam.edge.caller;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.cactusseam.edge.backend.GenerationRelay;
import org.cactusseam.edge.backend.Headers;
import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.PermitRequestId;
import org.jspecify.annotations.Nullable;

/**
 * One model request from its arrival to the end of its answer.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
final class ModelRequest implements AttemptLoop.Sender, GenerationRelay.Sink {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long REPORT_INTERVAL_MILLIS = 500;
  private static final int STATUS_OK = 200;
  private static final int STATUS_CLIENT_ERROR = 400;
  private static final int STATUS_SERVER_ERROR = 500;
  private static final int STATUS_CONFLICT = 409;

  /** Engines keep a stream for this long after its connection was lost, in milliseconds. */
  private static final long ENGINE_RESUME_WINDOW_MILLIS = 30_000;

  private final CallerServices services;
  private final HttpClient client;
  private final RequestInfo info;
  private @Nullable Buffer body;
  private final CallerResponse answer;
  private final ActiveRequests.Entry entry;
  private final AttemptLoop attempts;
  private final SlowReaderGuard slowReader;
  private final RequestTelemetry journal;
  private final RunOnceGuard guard;
  private AttemptLoop.@Nullable Attempt current;
  private @Nullable GenerationRelay relay;
  private @Nullable GenerationId generation;
  private final Context loop = Vertx.currentContext();
  private long nextReportMillis = Long.MIN_VALUE;
  private boolean ended;

  ModelRequest(
      CallerServices services,
      HttpClient client,
      RequestInfo info,
      JsonObject body,
      CallerResponse answer,
      SlowReaderGuard slowReader,
      RunOnceGuard guard) {
    this.services = services;
    this.guard = guard;
    this.client = client;
    this.info = info;
    this.body = body.copy().put("stream", true).toBuffer();
    this.answer = answer;
    this.slowReader = slowReader;
    this.journal = new RequestTelemetry(services.clock(), services.metrics(), info);
    this.entry = services.active().add(info, new Leaver());
    this.attempts =
        new AttemptLoop(
            services,
            info,
            PromptProfile.of(body),
            body.getValue("max_tokens") instanceof Number number ? number.intValue() : 0,
            this);
  }

  void start() {
    answer.onDrain(this::drained);
    guard.claim(this::attempt, this::refuse, stored -> refuse(alreadyRan()));
  }

  private void attempt() {
    if (ended) {
      guard.ended();
    } else {
      attempts.start();
    }
  }

  private static Refusal alreadyRan() {
    return Refusal.permanent(ResultCode.ALREADY_RAN, "the answer of a stream is not kept");
  }

  @Override
  public void send(AttemptLoop.Attempt attempt) {
    current = attempt;
    entry.sentTo(attempt.server().name().value());
    journal.sent(attempt.server().name().value());
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(attempt.server().host())
            .setPort(attempt.server().port())
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setURI(info.route().path());
    client
        .request(options)
        .onSuccess(request -> connected(attempt, request))
        .onFailure(cause -> notSent(attempt, cause));
  }

  private void connected(AttemptLoop.Attempt attempt, HttpClientRequest request) {
    if (ended || !services.clock().instant().isBefore(attempt.validUntil())) {
      request.reset();
      notSent(attempt, new ConnectException("the permit expired before the request was sent"));
      return;
    }
    guard.begin(
        () -> write(attempt, request),
        refusal -> {
          request.reset();
          attempts.end(attempt.permit(), AttemptEnd.NOT_SENT, 0);
          refuse(refusal);
        });
  }

  private void write(AttemptLoop.Attempt attempt, HttpClientRequest request) {
    if (!services.clock().instant().isBefore(attempt.validUntil())) {
      request.reset();
      guard.refusedByServer();
      notSent(attempt, new ConnectException("the permit expired before the request was sent"));
      return;
    }
    request.putHeader("Content-Type", "application/json");
    request.putHeader(Headers.STREAM, streamOf(attempt));
    request.putHeader(
        Headers.PRIORITY,
        Integer.toString(services.view().get().rankOf(info.account().priorityClass())));
    request.putHeader(Headers.FENCING_NUMBER, Long.toString(attempt.permit().epoch()));
    request
        .response()
        .onSuccess(head -> head(attempt, head))
        .onFailure(cause -> brokenBeforeHead(attempt, cause));
    request
        .end(Objects.requireNonNull(body))
        .onSuccess(
            written -> journal.written(attempt.server().name().value(), attempt.validUntil()));
  }

  private static String streamOf(AttemptLoop.Attempt attempt) {
    return attempt.permit().id().node()
        + "-"
        + attempt.permit().id().boot()
        + "-"
        + attempt.permit().id().sequence();
  }

  private void notSent(AttemptLoop.Attempt attempt, Throwable cause) {
    boolean unreachable = cause instanceof ConnectException;
    attempts.end(attempt.permit(), unreachable ? AttemptEnd.BROKEN : AttemptEnd.NOT_SENT, 0);
    retry(attempt, false, ResultCode.BACKEND_UNAVAILABLE, "cannot connect to the backend server");
  }

  private void brokenBeforeHead(AttemptLoop.Attempt attempt, Throwable cause) {
    attempts.end(attempt.permit(), AttemptEnd.BROKEN, 0);
    retry(attempt, true, ResultCode.BACKEND_FAILED, "the backend server did not answer");
  }

  private void retry(AttemptLoop.Attempt attempt, boolean ran, ResultCode code, String detail) {
    if (ended) {
      return;
    }
    current = null;
    entry.waiting();
    attempts.failed(attempt, ran, new Refusal(code, detail, Duration.ofSeconds(1)));
  }

  private void head(AttemptLoop.Attempt attempt, HttpClientResponse response) {
    Optional<BackendCondition> condition = Headers.condition(response.headers());
    condition.ifPresent(
        state ->
            services
                .admission()
                .reportResponseStarted(attempt.permit().shard(), attempt.permit().id(), state));
    if (response.statusCode() == STATUS_OK && condition.isPresent()) {
      accepted(attempt, response, condition.get());
    } else {
      refused(attempt, response);
    }
  }

  private void refused(AttemptLoop.Attempt attempt, HttpClientResponse response) {
    int status = response.statusCode();
    boolean notRun = response.getHeader(Headers.NOT_RUN) != null;
    response.request().reset();
    attempts.end(attempt.permit(), AttemptEnd.REFUSED, 0);
    if (notRun) {
      guard.refusedByServer();
    }
    boolean callersFault =
        status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR && status != STATUS_CONFLICT;
    if (callersFault && !notRun) {
      refuse(
          Refusal.permanent(
              ResultCode.MALFORMED_REQUEST, "the engine rejected the request: " + status));
      return;
    }
    retry(
        attempt,
        !notRun,
        notRun ? ResultCode.BACKEND_UNAVAILABLE : ResultCode.BACKEND_FAILED,
        "the backend server answered with status " + status);
  }

  private void accepted(
      AttemptLoop.Attempt attempt, HttpClientResponse response, BackendCondition condition) {
    GenerationId id =
        new GenerationId(
            attempt.server().name(),
            condition.incarnation(),
            streamOf(attempt),
            info.account().name());
    generation = id;
    GenerationRelay attached =
        new GenerationRelay(
            services.vertx(), services.clock(), client, attempt.server(), id, 0, this);
    relay = attached;
    if (ended) {
      attached.cancel();
      return;
    }
    attached.attach(response);
  }

  @Override
  public void token(long index, String data) {
    if (generation != null && current != null) {
      forgetBody();
      answer.token(generation, index, data);
      journal.token();
      entry.streaming(index + 1);
      reportProgress(current.permit().id(), index + 1);
    }
  }

  /** A request that has delivered a token is not sent again, and prompts are long. */
  private void forgetBody() {
    if (body != null) {
      body = null;
    }
  }

  /**
   * Inventories carry progress once a second; a report for each token would only wake the control
   * thread.
   */
  private void reportProgress(PermitRequestId attempt, long tokens) {
    long now = services.clock().millis();
    if (now >= nextReportMillis) {
      nextReportMillis = now + REPORT_INTERVAL_MILLIS;
      services.admission().reportProgress(attempt, tokens);
    }
  }

  @Override
  public void completed(String finish, long tokens) {
    guard.ranWithoutAnswer();
    finish(AttemptEnd.COMPLETED);
    journal.ended(tokens, "whole");
    if (generation != null) {
      answer.complete(generation, finish, tokens);
    }
  }

  @Override
  public void lost(ResultCode code, String detail) {
    AttemptLoop.Attempt attempt = current;
    GenerationRelay lost = relay;
    if (attempt == null || lost == null) {
      return;
    }
    if (lost.nextIndex() == 0) {
      attempts.end(attempt.permit(), AttemptEnd.BROKEN, 0);
      relay = null;
      retry(attempt, true, ResultCode.BACKEND_FAILED, detail);
      return;
    }
    finish(AttemptEnd.BROKEN);
    Refusal refusal = Refusal.permanent(code, detail);
    journal.refused(refusal);
    attempts.whenReleased(attempt.permit(), () -> answer.refuse(refusal));
  }

  @Override
  public boolean isFull() {
    boolean full = answer.isFull();
    if (full) {
      slowReader.full();
    }
    return full;
  }

  private void drained() {
    slowReader.drained();
    if (relay != null) {
      relay.proceed();
    }
  }

  @Override
  public void refuse(Refusal refusal) {
    guard.ended();
    if (!ended) {
      ended = true;
      services.active().remove(info);
      journal.refused(refusal);
      answer.refuse(refusal);
    }
  }

  private void finish(AttemptEnd end) {
    ended = true;
    guard.ended();
    slowReader.drained();
    services.active().remove(info);
    if (current != null && relay != null) {
      attempts.end(current.permit(), end, relay.nextIndex());
    }
  }

  /** The caller's connection closed before the end of the answer. */
  void callerLeft() {
    if (ended) {
      return;
    }
    ended = true;
    slowReader.drained();
    services.active().remove(info);
    guard.ended();
    attempts.stop();
    journal.ended(relay == null ? 0 : relay.nextIndex(), "caller_left");
    leave();
  }

  /**
   * A stream that has begun may be resumed elsewhere, so it keeps its permit while the engine keeps
   * it.
   */
  private void leave() {
    GenerationRelay left = relay;
    AttemptLoop.Attempt attempt = current;
    if (left == null || attempt == null) {
      return;
    }
    if (left.nextIndex() == 0 || answer instanceof CollectedResponse) {
      left.cancel();
      attempts.end(attempt.permit(), AttemptEnd.CANCELLED, left.nextIndex());
      return;
    }
    left.leave();
    services
        .vertx()
        .setTimer(
            ENGINE_RESUME_WINDOW_MILLIS,
            timer -> attempts.end(attempt.permit(), AttemptEnd.CANCELLED, left.nextIndex()));
  }

  private final class Leaver implements ActiveRequests.Handle {
    @Override
    public boolean isResumable() {
      return answer instanceof StreamedResponse streamed && streamed.hasBegun();
    }

    @Override
    public void handOver() {
      onLoop(
          () -> {
            if (!ended && answer.handOver()) {
              callerLeft();
            }
          });
    }

    @Override
    public void end(Refusal refusal) {
      onLoop(() -> refuse(refusal));
    }

    private void onLoop(Runnable action) {
      loop.runOnContext(ignored -> action.run());
    }
  }
}
