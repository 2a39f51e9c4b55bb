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
import org.cactusseam.edge.backend.Headers;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.claim.StoredResponse;

/**
 * One request to a plain service. The answer is held until it is whole, so that the caller never
 * gets a part of one.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
final class PlainRequest implements AttemptLoop.Sender {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /**
   * Least output that admission counts with. Without a bound, an owner that knows no lengths yet
   * expects the output of a model and refuses what has less than 4 s left.
   */
  private static final int OUTPUT_TOKENS = 1;

  private static final Set<String> FORWARDED =
      Set.of("content-type", "accept", "accept-language", "idempotency-key");
  private static final List<String> RETURNED =
      List.of("Content-Type", "Content-Language", "ETag", "Location");

  private final CallerServices services;
  private final HttpClient client;
  private final RequestInfo info;
  private final HttpServerRequest request;
  private final Buffer body;
  private final ActiveRequests.Entry entry;
  private final RequestTelemetry journal;
  private final AttemptLoop attempts;
  private final RunOnceGuard guard;
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
    this.journal = new RequestTelemetry(services.clock(), services.metrics(), info);
    this.entry = services.active().add(info, new Leaver());
    this.guard =
        new RunOnceGuard(
            services.claims(),
            info,
            Optional.ofNullable(request.getHeader(Headers.IDEMPOTENCY_KEY)));
    this.attempts =
        new AttemptLoop(services, info, new PromptProfile(0, List.of()), OUTPUT_TOKENS, this);
  }

  void start() {
    guard.claim(this::attempt, this::refuse, this::repeat);
  }

  private void attempt() {
    if (ended) {
      guard.ended();
    } else {
      attempts.start();
    }
  }

  private void repeat(StoredResponse stored) {
    if (ended) {
      return;
    }
    finish();
    journal.ended(1, "repeated");
    request
        .response()
        .setStatusCode(stored.httpStatus())
        .putHeader("Content-Type", stored.contentType())
        .end(Buffer.buffer(stored.body()));
  }

  @Override
  public void send(AttemptLoop.Attempt attempt) {
    entry.sentTo(attempt.server().name().value());
    journal.sent(attempt.server().name().value());
    Duration patience = Duration.between(services.clock().instant(), info.deadline());
    RequestOptions options =
        new RequestOptions()
            .setMethod(request.method())
            .setHost(attempt.server().host())
            .setPort(attempt.server().port())
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setIdleTimeout(Math.max(1, patience.toMillis()))
            .setURI(request.uri());
    client
        .request(options)
        .onSuccess(connected -> connected(attempt, connected))
        .onFailure(cause -> notSent(attempt, cause));
  }

  private void connected(AttemptLoop.Attempt attempt, HttpClientRequest outgoing) {
    if (ended || !services.clock().instant().isBefore(attempt.validUntil())) {
      outgoing.reset();
      notSent(attempt, new ConnectException("the permit expired before the request was sent"));
      return;
    }
    guard.begin(
        () -> write(attempt, outgoing),
        refusal -> {
          outgoing.reset();
          attempts.end(attempt.permit(), AttemptEnd.NOT_SENT, 0);
          refuse(refusal);
        });
  }

  private void write(AttemptLoop.Attempt attempt, HttpClientRequest outgoing) {
    if (!services.clock().instant().isBefore(attempt.validUntil())) {
      outgoing.reset();
      guard.refusedByServer();
      attempts.end(attempt.permit(), AttemptEnd.NOT_SENT, 0);
      refuse(
          new Refusal(
              ResultCode.OVERLOADED,
              "the permit expired before it was used",
              Duration.ofSeconds(1)));
      return;
    }
    request
        .headers()
        .forEach(
            header -> {
              if (FORWARDED.contains(header.getKey().toLowerCase(java.util.Locale.ROOT))) {
                outgoing.putHeader(header.getKey(), header.getValue());
              }
            });
    outgoing.putHeader(Headers.REQUEST, info.id());
    outgoing.putHeader(Headers.FENCING_NUMBER, Long.toString(attempt.permit().epoch()));
    outgoing
        .response()
        .onSuccess(response -> head(attempt, response))
        .onFailure(cause -> broken(attempt, "the backend server did not answer"));
    outgoing
        .end(body)
        .onSuccess(
            written -> journal.written(attempt.server().name().value(), attempt.validUntil()));
  }

  private void head(AttemptLoop.Attempt attempt, HttpClientResponse response) {
    Headers.condition(response.headers())
        .ifPresent(
            state ->
                services
                    .admission()
                    .reportResponseStarted(attempt.permit().shard(), attempt.permit().id(), state));
    if (response.getHeader(Headers.NOT_RUN) != null) {
      response.request().reset();
      guard.refusedByServer();
      attempts.end(attempt.permit(), AttemptEnd.REFUSED, 0);
      retry(attempt, false, ResultCode.BACKEND_UNAVAILABLE, "the backend server refused");
      return;
    }
    response
        .body()
        .onSuccess(content -> completed(attempt, response, content))
        .onFailure(cause -> broken(attempt, "the answer broke off"));
  }

  private void completed(AttemptLoop.Attempt attempt, HttpClientResponse response, Buffer content) {
    attempts.end(attempt.permit(), AttemptEnd.COMPLETED, 1);
    String contentType =
        Optional.ofNullable(response.getHeader("Content-Type")).orElse("application/octet-stream");
    guard.ran(response.statusCode(), contentType, content.getBytes());
    if (ended) {
      return;
    }
    finish();
    journal.ended(1, "whole");
    HttpServerResponse answer = request.response();
    answer.setStatusCode(response.statusCode());
    for (String name : RETURNED) {
      String value = response.getHeader(name);
      if (value != null) {
        answer.putHeader(name, value);
      }
    }
    answer.end(content);
  }

  private void notSent(AttemptLoop.Attempt attempt, Throwable cause) {
    boolean unreachable = cause instanceof ConnectException;
    attempts.end(attempt.permit(), unreachable ? AttemptEnd.BROKEN : AttemptEnd.NOT_SENT, 0);
    retry(attempt, false, ResultCode.BACKEND_UNAVAILABLE, "cannot connect to the backend server");
  }

  private void broken(AttemptLoop.Attempt attempt, String detail) {
    attempts.end(attempt.permit(), AttemptEnd.BROKEN, 0);
    retry(attempt, true, ResultCode.BACKEND_FAILED, detail);
  }

  private void retry(AttemptLoop.Attempt attempt, boolean ran, ResultCode code, String detail) {
    if (!ended) {
      entry.waiting();
      attempts.failed(attempt, ran, new Refusal(code, detail, Duration.ofSeconds(1)));
    }
  }

  @Override
  public void refuse(Refusal refusal) {
    guard.ended();
    if (!ended) {
      finish();
      journal.refused(refusal);
      RefusalWriter.write(request.response(), refusal);
    }
  }

  private void finish() {
    ended = true;
    services.active().remove(info);
  }

  /** The caller's connection closed before the answer. The attempt that runs goes on to its end. */
  void callerLeft() {
    if (!ended) {
      finish();
      attempts.stop();
    }
  }

  private final class Leaver implements ActiveRequests.Handle {
    @Override
    public boolean isResumable() {
      return false;
    }

    @Override
    public void handOver() {
      // A plain answer cannot be resumed.
    }

    @Override
    public void end(Refusal refusal) {
      loop.runOnContext(ignored -> refuse(refusal));
    }
  }
}
