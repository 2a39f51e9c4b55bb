package org.cactusseam.edge.caller;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.edge.backend.BoundedBody;
import org.cactusseam.edge.backend.Headers;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.claim.StoredResponse;

/**
 * Handles one request to a plain service. The response is buffered until it is complete, so that
 * the caller never receives a partial response.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
final class PlainRequest implements AttemptLoop.Sender {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int STATUS_SERVER_ERROR = 500;

  /**
   * Output bound for admission, which is the smallest possible. Without a bound, a shard owner that
   * has not yet seen output lengths would expect the output of a model and refuse requests with
   * less than 4 s to their deadline.
   */
  private static final int OUTPUT_TOKENS = 1;

  /** Maximum length of a buffered response, a small part of the memory of a process. */
  private static final int MAX_RESPONSE_BYTES = 8 << 20;

  private static final Set<String> FORWARDED_HEADERS =
      Set.of("content-type", "accept", "accept-language", "idempotency-key");
  private static final List<String> RETURNED_HEADERS =
      List.of("Content-Type", "Content-Language", "ETag", "Location");

  private final CallerServices services;
  private final HttpClient client;
  private final RequestInfo info;
  private final HttpServerRequest request;
  private final Buffer body;
  private final ActiveRequests.Entry entry;
  private final RequestTelemetry telemetry;
  private final AttemptLoop attemptLoop;
  private final RunOnceGuard runOnceGuard;
  private final Context loop = Vertx.currentContext();
  private boolean ended;

  PlainRequest(
      CallerServices services,
      HttpClient client,
      RequestInfo info,
      HttpServerRequest request,
      Buffer body) {
    this.services = services;
    this.client = client;
    this.info = info;
    this.request = request;
    this.body = body;
    this.telemetry = new RequestTelemetry(services.clock(), services.metrics(), info);
    this.entry = services.active().add(info, new ShutdownHandle());
    this.runOnceGuard =
        new RunOnceGuard(
            services.claims(),
            info,
            Optional.ofNullable(request.getHeader(Headers.IDEMPOTENCY_KEY)));
    this.attemptLoop =
        new AttemptLoop(services, info, new PromptProfile(0, List.of()), OUTPUT_TOKENS, this);
  }

  void start() {
    runOnceGuard.claim(this::startAttempts, this::refuse, this::writeStored);
  }

  private void startAttempts() {
    if (ended) {
      runOnceGuard.recordEnd();
    } else {
      attemptLoop.start();
    }
  }

  private void writeStored(StoredResponse stored) {
    if (ended) {
      return;
    }
    markEnded();
    telemetry.recordEnd(1, "repeated");
    request
        .response()
        .setStatusCode(stored.httpStatus())
        .putHeader("Content-Type", stored.contentType())
        .end(Buffer.buffer(stored.body()));
  }

  @Override
  public void send(AttemptLoop.Attempt attempt) {
    entry.markSent(attempt.server().name().value());
    telemetry.recordSent(attempt.server().name().value());
    Duration timeToDeadline = Duration.between(services.clock().instant(), info.deadline());
    RequestOptions options =
        new RequestOptions()
            .setMethod(request.method())
            .setHost(attempt.server().host())
            .setPort(attempt.server().port())
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setIdleTimeout(Math.max(1, timeToDeadline.toMillis()))
            .setURI(request.uri());
    client
        .request(options)
        .onSuccess(outgoing -> sendIfPermitted(attempt, outgoing))
        .onFailure(cause -> handleNotSent(attempt, cause));
  }

  private void sendIfPermitted(AttemptLoop.Attempt attempt, HttpClientRequest outgoing) {
    if (ended || !services.clock().instant().isBefore(attempt.validUntil())) {
      outgoing.reset();
      handleNotSent(
          attempt, new ConnectException("the permit expired before the request was sent"));
      return;
    }
    runOnceGuard.trySend(
        () -> write(attempt, outgoing),
        refusal -> {
          outgoing.reset();
          attemptLoop.reportEnd(attempt.permit(), AttemptEnd.NOT_SENT, 0);
          refuse(refusal);
        });
  }

  private void write(AttemptLoop.Attempt attempt, HttpClientRequest outgoing) {
    if (!services.clock().instant().isBefore(attempt.validUntil())) {
      outgoing.reset();
      runOnceGuard.recordNotRun();
      attemptLoop.reportEnd(attempt.permit(), AttemptEnd.NOT_SENT, 0);
      refuse(
          new Refusal(
              ResultCode.OVERLOADED,
              "the permit expired before the request was sent",
              Duration.ofSeconds(1)));
      return;
    }
    request
        .headers()
        .forEach(
            header -> {
              if (FORWARDED_HEADERS.contains(header.getKey().toLowerCase(java.util.Locale.ROOT))) {
                outgoing.putHeader(header.getKey(), header.getValue());
              }
            });
    outgoing.putHeader(Headers.REQUEST, info.id());
    outgoing.putHeader(Headers.FENCING_NUMBER, Long.toString(attempt.permit().epoch()));
    outgoing
        .response()
        .onSuccess(response -> handleResponseHead(attempt, response))
        .onFailure(
            cause ->
                handleBroken(
                    attempt, "the connection to the backend server failed before its response"));
    outgoing
        .end(body)
        .onSuccess(
            written ->
                telemetry.recordWritten(attempt.server().name().value(), attempt.validUntil()));
  }

  private void handleResponseHead(AttemptLoop.Attempt attempt, HttpClientResponse response) {
    Headers.condition(response.headers())
        .ifPresent(
            state ->
                services
                    .admission()
                    .reportResponseStarted(attempt.permit().shard(), attempt.permit().id(), state));
    if (response.getHeader(Headers.NOT_RUN) != null) {
      response.request().reset();
      runOnceGuard.recordNotRun();
      attemptLoop.reportEnd(attempt.permit(), AttemptEnd.REFUSED, 0);
      retry(
          attempt,
          false,
          ResultCode.BACKEND_UNAVAILABLE,
          "the backend server refused the request without running it");
      return;
    }
    BoundedBody.read(response, MAX_RESPONSE_BYTES)
        .onSuccess(content -> deliver(attempt, response, content))
        .onFailure(
            cause ->
                handleBroken(
                    attempt, "the connection to the backend server failed during its response"));
  }

  private void deliver(AttemptLoop.Attempt attempt, HttpClientResponse response, Buffer content) {
    if (response.statusCode() >= STATUS_SERVER_ERROR) {
      services.admission().reportFailure(attempt.permit().id());
    }
    attemptLoop.reportEnd(attempt.permit(), AttemptEnd.COMPLETED, 1);
    String contentType =
        Optional.ofNullable(response.getHeader("Content-Type")).orElse("application/octet-stream");
    runOnceGuard.recordResponse(response.statusCode(), contentType, content.getBytes());
    if (ended) {
      return;
    }
    markEnded();
    telemetry.recordEnd(1, "whole");
    HttpServerResponse callerResponse = request.response();
    callerResponse.setStatusCode(response.statusCode());
    for (String name : RETURNED_HEADERS) {
      String value = response.getHeader(name);
      if (value != null) {
        callerResponse.putHeader(name, value);
      }
    }
    callerResponse.end(content);
  }

  private void handleNotSent(AttemptLoop.Attempt attempt, Throwable cause) {
    boolean unreachable = cause instanceof ConnectException;
    attemptLoop.reportEnd(
        attempt.permit(), unreachable ? AttemptEnd.BROKEN : AttemptEnd.NOT_SENT, 0);
    retry(attempt, false, ResultCode.BACKEND_UNAVAILABLE, "cannot connect to the backend server");
  }

  private void handleBroken(AttemptLoop.Attempt attempt, String detail) {
    attemptLoop.reportEnd(attempt.permit(), AttemptEnd.BROKEN, 0);
    retry(attempt, true, ResultCode.BACKEND_FAILED, detail);
  }

  private void retry(AttemptLoop.Attempt attempt, boolean ran, ResultCode code, String detail) {
    if (!ended) {
      entry.markWaiting();
      attemptLoop.handleFailure(attempt, ran, new Refusal(code, detail, Duration.ofSeconds(1)));
    }
  }

  @Override
  public void refuse(Refusal refusal) {
    runOnceGuard.recordEnd();
    if (!ended) {
      markEnded();
      telemetry.recordRefusal(refusal);
      RefusalWriter.write(request.response(), refusal);
    }
  }

  private void markEnded() {
    ended = true;
    services.active().remove(info);
  }

  /**
   * Handles that the caller disconnected before the response. A running attempt is not cancelled.
   */
  void callerDisconnected() {
    if (!ended) {
      markEnded();
      attemptLoop.stop();
    }
  }

  private final class ShutdownHandle implements ActiveRequests.Handle {
    @Override
    public boolean isResumable() {
      return false;
    }

    @Override
    public void handOver() {
      // Plain responses are not resumable.
    }

    @Override
    public void end(Refusal refusal) {
      loop.runOnContext(ignored -> refuse(refusal));
    }
  }
}
