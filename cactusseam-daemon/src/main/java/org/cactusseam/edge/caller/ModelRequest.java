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
 * Handles one model request from its arrival to the end of its response: claims it, sends attempts
 * to engines and relays the generated tokens to the caller.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
final class ModelRequest implements AttemptLoop.Sender, GenerationRelay.Sink {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long PROGRESS_INTERVAL_MILLIS = 500;
  private static final int STATUS_OK = 200;
  private static final int STATUS_CLIENT_ERROR = 400;
  private static final int STATUS_SERVER_ERROR = 500;
  private static final int STATUS_CONFLICT = 409;

  /** Time for which engines keep a stream after its connection was lost. */
  private static final long ENGINE_RESUME_WINDOW_MILLIS = 30_000;

  private final CallerServices services;
  private final HttpClient client;
  private final RequestInfo info;
  private @Nullable Buffer body;
  private final CallerResponse callerResponse;
  private final ActiveRequests.Entry entry;
  private final AttemptLoop attemptLoop;
  private final SlowReaderGuard slowReaderGuard;
  private final RequestTelemetry telemetry;
  private final RunOnceGuard runOnceGuard;
  private AttemptLoop.@Nullable Attempt currentAttempt;
  private @Nullable GenerationRelay relay;
  private @Nullable GenerationId generation;
  private final Context loop = Vertx.currentContext();
  private long nextProgressMillis = Long.MIN_VALUE;
  private boolean ended;

  ModelRequest(
      CallerServices services,
      HttpClient client,
      RequestInfo info,
      JsonObject body,
      CallerResponse callerResponse,
      SlowReaderGuard slowReaderGuard,
      RunOnceGuard runOnceGuard) {
    this.services = services;
    this.runOnceGuard = runOnceGuard;
    this.client = client;
    this.info = info;
    this.body = body.copy().put("stream", true).toBuffer();
    this.callerResponse = callerResponse;
    this.slowReaderGuard = slowReaderGuard;
    this.telemetry = new RequestTelemetry(services.clock(), services.metrics(), info);
    this.entry = services.active().add(info, new ShutdownHandle());
    this.attemptLoop =
        new AttemptLoop(
            services,
            info,
            PromptProfile.of(body),
            body.getValue("max_tokens") instanceof Number number ? number.intValue() : 0,
            this);
  }

  void start() {
    callerResponse.onDrain(this::resumeReading);
    runOnceGuard.claim(this::startAttempts, this::refuse, stored -> refuse(alreadyRan()));
  }

  private void startAttempts() {
    if (ended) {
      runOnceGuard.recordEnd();
    } else {
      attemptLoop.start();
    }
  }

  private static Refusal alreadyRan() {
    return Refusal.permanent(
        ResultCode.ALREADY_RAN,
        "the request already ran, and responses of model requests are not stored");
  }

  @Override
  public void send(AttemptLoop.Attempt attempt) {
    currentAttempt = attempt;
    entry.markSent(attempt.server().name().value());
    telemetry.recordSent(attempt.server().name().value());
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(attempt.server().host())
            .setPort(attempt.server().port())
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setURI(info.route().path());
    client
        .request(options)
        .onSuccess(request -> sendIfPermitted(attempt, request))
        .onFailure(cause -> handleNotSent(attempt, cause));
  }

  private void sendIfPermitted(AttemptLoop.Attempt attempt, HttpClientRequest request) {
    if (ended || !services.clock().instant().isBefore(attempt.validUntil())) {
      request.reset();
      handleNotSent(
          attempt, new ConnectException("the permit expired before the request was sent"));
      return;
    }
    runOnceGuard.trySend(
        () -> write(attempt, request),
        refusal -> {
          request.reset();
          attemptLoop.reportEnd(attempt.permit(), AttemptEnd.NOT_SENT, 0);
          refuse(refusal);
        });
  }

  private void write(AttemptLoop.Attempt attempt, HttpClientRequest request) {
    if (!services.clock().instant().isBefore(attempt.validUntil())) {
      request.reset();
      runOnceGuard.recordNotRun();
      handleNotSent(
          attempt, new ConnectException("the permit expired before the request was sent"));
      return;
    }
    request.putHeader("Content-Type", "application/json");
    request.putHeader(Headers.STREAM, streamIdOf(attempt));
    request.putHeader(
        Headers.PRIORITY,
        Integer.toString(services.view().get().rankOf(info.account().priorityClass())));
    request.putHeader(Headers.FENCING_NUMBER, Long.toString(attempt.permit().epoch()));
    request
        .response()
        .onSuccess(head -> handleResponseHead(attempt, head))
        .onFailure(cause -> handleBrokenBeforeHead(attempt, cause));
    request
        .end(Objects.requireNonNull(body))
        .onSuccess(
            written ->
                telemetry.recordWritten(attempt.server().name().value(), attempt.validUntil()));
  }

  private static String streamIdOf(AttemptLoop.Attempt attempt) {
    return attempt.permit().id().node()
        + "-"
        + attempt.permit().id().boot()
        + "-"
        + attempt.permit().id().sequence();
  }

  private void handleNotSent(AttemptLoop.Attempt attempt, Throwable cause) {
    boolean unreachable = cause instanceof ConnectException;
    attemptLoop.reportEnd(
        attempt.permit(), unreachable ? AttemptEnd.BROKEN : AttemptEnd.NOT_SENT, 0);
    retry(attempt, false, ResultCode.BACKEND_UNAVAILABLE, "cannot connect to the backend server");
  }

  private void handleBrokenBeforeHead(AttemptLoop.Attempt attempt, Throwable cause) {
    attemptLoop.reportEnd(attempt.permit(), AttemptEnd.BROKEN, 0);
    retry(
        attempt,
        true,
        ResultCode.BACKEND_FAILED,
        "the connection to the backend server failed before its response");
  }

  private void retry(AttemptLoop.Attempt attempt, boolean ran, ResultCode code, String detail) {
    if (ended) {
      return;
    }
    currentAttempt = null;
    entry.markWaiting();
    attemptLoop.handleFailure(attempt, ran, new Refusal(code, detail, Duration.ofSeconds(1)));
  }

  private void handleResponseHead(AttemptLoop.Attempt attempt, HttpClientResponse response) {
    Optional<BackendCondition> condition = Headers.condition(response.headers());
    condition.ifPresent(
        state ->
            services
                .admission()
                .reportResponseStarted(attempt.permit().shard(), attempt.permit().id(), state));
    if (response.statusCode() == STATUS_OK && condition.isPresent()) {
      relayGeneration(attempt, response, condition.get());
    } else {
      handleRejection(attempt, response);
    }
  }

  private void handleRejection(AttemptLoop.Attempt attempt, HttpClientResponse response) {
    int status = response.statusCode();
    boolean isNotRun = response.getHeader(Headers.NOT_RUN) != null;
    response.request().reset();
    if (!isNotRun && status >= STATUS_SERVER_ERROR) {
      services.admission().reportFailure(attempt.permit().id());
    }
    attemptLoop.reportEnd(attempt.permit(), AttemptEnd.REFUSED, 0);
    if (isNotRun) {
      runOnceGuard.recordNotRun();
    }
    boolean isCallersFault =
        status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR && status != STATUS_CONFLICT;
    if (isCallersFault && !isNotRun) {
      refuse(
          Refusal.permanent(
              ResultCode.MALFORMED_REQUEST,
              "the engine rejected the request with status " + status));
      return;
    }
    retry(
        attempt,
        !isNotRun,
        isNotRun ? ResultCode.BACKEND_UNAVAILABLE : ResultCode.BACKEND_FAILED,
        "the backend server answered with status " + status);
  }

  private void relayGeneration(
      AttemptLoop.Attempt attempt, HttpClientResponse response, BackendCondition condition) {
    GenerationId id =
        new GenerationId(
            attempt.server().name(),
            condition.incarnation(),
            streamIdOf(attempt),
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
  public void onToken(long index, String data) {
    if (generation != null && currentAttempt != null) {
      releaseBody();
      callerResponse.writeToken(generation, index, data);
      telemetry.recordToken();
      entry.markStreaming(index + 1);
      reportProgress(currentAttempt.permit().id(), index + 1);
    }
  }

  /**
   * Frees the request body after the first token. From then on the request is not sent again, and
   * bodies with long prompts take much memory.
   */
  private void releaseBody() {
    if (body != null) {
      body = null;
    }
  }

  /**
   * Reports progress at a bounded rate. Progress is sent to shard owners only once a second, so a
   * report for each token would wake the control thread for nothing.
   */
  private void reportProgress(PermitRequestId attempt, long tokens) {
    long now = services.clock().millis();
    if (now >= nextProgressMillis) {
      nextProgressMillis = now + PROGRESS_INTERVAL_MILLIS;
      services.admission().reportProgress(attempt, tokens);
    }
  }

  @Override
  public void onCompleted(String finish, long tokens) {
    runOnceGuard.recordRunWithoutResponse();
    endAttempt(AttemptEnd.COMPLETED);
    telemetry.recordEnd(tokens, "whole");
    if (generation != null) {
      callerResponse.complete(generation, finish, tokens);
    }
  }

  @Override
  public void onLost(ResultCode code, String detail) {
    AttemptLoop.Attempt attempt = currentAttempt;
    GenerationRelay lostRelay = relay;
    if (attempt == null || lostRelay == null) {
      return;
    }
    if (lostRelay.nextIndex() == 0) {
      attemptLoop.reportEnd(attempt.permit(), AttemptEnd.BROKEN, 0);
      relay = null;
      retry(attempt, true, ResultCode.BACKEND_FAILED, detail);
      return;
    }
    endAttempt(AttemptEnd.BROKEN);
    Refusal refusal = Refusal.permanent(code, detail);
    telemetry.recordRefusal(refusal);
    attemptLoop.whenReleased(attempt.permit(), () -> callerResponse.refuse(refusal));
  }

  @Override
  public boolean isFull() {
    boolean isFull = callerResponse.isFull();
    if (isFull) {
      slowReaderGuard.startTimeout();
    }
    return isFull;
  }

  private void resumeReading() {
    slowReaderGuard.cancelTimeout();
    if (relay != null) {
      relay.continueReading();
    }
  }

  @Override
  public void refuse(Refusal refusal) {
    runOnceGuard.recordEnd();
    if (!ended) {
      ended = true;
      services.active().remove(info);
      telemetry.recordRefusal(refusal);
      callerResponse.refuse(refusal);
    }
  }

  private void endAttempt(AttemptEnd end) {
    ended = true;
    runOnceGuard.recordEnd();
    slowReaderGuard.cancelTimeout();
    services.active().remove(info);
    if (currentAttempt != null && relay != null) {
      attemptLoop.reportEnd(currentAttempt.permit(), end, relay.nextIndex());
    }
  }

  /** Handles that the caller disconnected before the end of the response. */
  void callerDisconnected() {
    if (ended) {
      return;
    }
    ended = true;
    slowReaderGuard.cancelTimeout();
    services.active().remove(info);
    runOnceGuard.recordEnd();
    attemptLoop.stop();
    telemetry.recordEnd(relay == null ? 0 : relay.nextIndex(), "caller_left");
    detach();
  }

  /**
   * Detaches from the generation. The caller may resume a stream that has begun at any daemon, so
   * its permit is released only after the engine's resume window. Any other generation is cancelled
   * at once.
   */
  private void detach() {
    GenerationRelay detached = relay;
    AttemptLoop.Attempt attempt = currentAttempt;
    if (detached == null || attempt == null) {
      return;
    }
    if (detached.nextIndex() == 0 || callerResponse instanceof CollectedResponse) {
      detached.cancel();
      attemptLoop.reportEnd(attempt.permit(), AttemptEnd.CANCELLED, detached.nextIndex());
      return;
    }
    detached.detach();
    services
        .vertx()
        .setTimer(
            ENGINE_RESUME_WINDOW_MILLIS,
            timer ->
                attemptLoop.reportEnd(
                    attempt.permit(), AttemptEnd.CANCELLED, detached.nextIndex()));
  }

  private final class ShutdownHandle implements ActiveRequests.Handle {
    @Override
    public boolean isResumable() {
      return callerResponse instanceof StreamedResponse streamed && streamed.hasBegun();
    }

    @Override
    public void handOver() {
      onLoop(
          () -> {
            if (!ended && callerResponse.handOver()) {
              callerDisconnected();
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
