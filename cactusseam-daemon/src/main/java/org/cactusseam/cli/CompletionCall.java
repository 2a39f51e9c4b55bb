package org.cactusseam.cli;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.net.URI;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cactusseam.edge.answer.OperatorAnswer;

/**
 * One completion request with its resumes. A request that may have reached a daemon is never sent
 * again: before the first token nothing names the generation, and a second run could harm.
 *
 * <p>Runs on one event loop.
 */
final class CompletionCall {

  private static final int STATUS_OK = 200;
  // Gives a daemon that restarts the time to come back before the bound on resumes is used up.
  private static final long PAUSE_MILLIS = 200;

  private final Vertx vertx;
  private final HttpClient http;
  private final CallPlan plan;
  private final Clock clock;
  private final Listener listener;
  private final Promise<CallResult> result = Promise.promise();
  private final StreamVerifier verifier = new StreamVerifier();
  private Instant start = Instant.EPOCH;
  private Optional<Instant> lastToken = Optional.empty();
  private Optional<Duration> firstToken = Optional.empty();
  private int server;
  private int moves;

  /** Receives the tokens of a call. */
  interface Listener {

    /**
     * Receives a token.
     *
     * @param text text
     * @param sincePrevious time since the previous token, or empty for the first
     */
    void token(String text, Optional<Duration> sincePrevious);
  }

  CompletionCall(
      Vertx vertx,
      HttpClient http,
      CallPlan plan,
      int firstServer,
      Clock clock,
      Listener listener) {
    this.vertx = vertx;
    this.http = http;
    this.plan = plan;
    this.server = firstServer;
    this.clock = clock;
    this.listener = listener;
  }

  /**
   * Sends the request.
   *
   * @return how the call ended; never fails
   */
  Future<CallResult> run() {
    start = clock.instant();
    connect();
    return result.future();
  }

  private URI currentServer() {
    return plan.servers().get(Math.floorMod(server, plan.servers().size()));
  }

  private void connect() {
    http.request(requestOptions())
        .onSuccess(this::send)
        .onFailure(failure -> move("no connection: " + failure));
  }

  private RequestOptions requestOptions() {
    Optional<String> generation = verifier.generation();
    if (generation.isEmpty()) {
      RequestOptions options =
          Urls.request(currentServer(), HttpMethod.POST, plan.path(), plan.key())
              .putHeader("Content-Type", "application/json");
      plan.deadline()
          .ifPresent(
              deadline ->
                  options.putHeader("Cactusseam-Deadline-Ms", Long.toString(deadline.toMillis())));
      plan.idempotencyKey().ifPresent(key -> options.putHeader("Idempotency-Key", key));
      return options;
    }
    String path = "/v1/generations/" + generation.get();
    return Urls.request(currentServer(), HttpMethod.GET, path, plan.key())
        .putHeader("Last-Event-ID", verifier.lastEventId().orElseThrow());
  }

  private void send(HttpClientRequest request) {
    Attempt attempt = new Attempt(request);
    attempt.watch();
    boolean resumes = verifier.generation().isPresent();
    Future<HttpClientResponse> response = resumes ? request.send() : request.send(plan.body());
    response
        .onSuccess(head -> receive(head, attempt))
        .onFailure(failure -> attempt.end(() -> broken(failure.toString())));
  }

  private void receive(HttpClientResponse response, Attempt attempt) {
    if (response.statusCode() != STATUS_OK) {
      response
          .body()
          .onSuccess(body -> attempt.end(() -> refused(response.statusCode(), body)))
          .onFailure(failure -> attempt.end(() -> broken(failure.toString())));
      return;
    }
    ServerSentEvents events = new ServerSentEvents();
    RecordParser lines = RecordParser.newDelimited("\n", response);
    lines.handler(
        line -> {
          attempt.lastData = clock.instant();
          events.accept(line.toString()).ifPresent(event -> accept(event, attempt));
        });
    lines.exceptionHandler(failure -> attempt.end(() -> broken(failure.toString())));
    lines.endHandler(end -> attempt.end(() -> broken("the connection ended before the answer")));
  }

  /** One connection of the call; the first end counts, later events of it are ignored. */
  private final class Attempt {

    private final HttpClientRequest request;
    private Instant lastData = clock.instant();
    private boolean ended;

    Attempt(HttpClientRequest request) {
      this.request = request;
    }

    void end(Runnable action) {
      if (!ended) {
        ended = true;
        action.run();
      }
    }

    /** Ends the attempt if no data arrives; the idle timeout of the client ends with the head. */
    void watch() {
      if (ended) {
        return;
      }
      Duration rest = plan.idleTimeout().minus(Duration.between(lastData, clock.instant()));
      if (rest.isPositive()) {
        vertx.setTimer(rest.toMillis() + 1, timer -> watch());
      } else {
        end(() -> broken("no data within " + plan.idleTimeout().toMillis() + " ms"));
        request.reset();
      }
    }
  }

  private void accept(ServerSentEvents.Event event, Attempt attempt) {
    if (attempt.ended) {
      return;
    }
    switch (verifier.accept(event)) {
      case StreamVerifier.Token(String text) -> token(text);
      case StreamVerifier.Other other -> {
        // The stream goes on.
      }
      case StreamVerifier.Complete complete ->
          attempt.end(() -> finish(CallResult.Ending.COMPLETE, 0, ""));
      case StreamVerifier.Resume resume -> {
        attempt.end(() -> broken("the daemon asked to resume elsewhere"));
        attempt.request.reset();
      }
      case StreamVerifier.Refused(int code, String message) ->
          attempt.end(() -> finish(CallResult.Ending.INCOMPLETE, code, message));
      case StreamVerifier.Faulty(String message) -> {
        attempt.end(() -> finish(CallResult.Ending.INCOMPLETE, 0, message));
        attempt.request.reset();
      }
    }
  }

  private void token(String text) {
    Instant now = clock.instant();
    if (firstToken.isEmpty()) {
      firstToken = Optional.of(Duration.between(start, now));
    }
    listener.token(text, lastToken.map(previous -> Duration.between(previous, now)));
    lastToken = Optional.of(now);
  }

  private void refused(int status, Buffer body) {
    Optional<OperatorAnswer> answer = OperatorAnswer.parse(body.toString());
    if (verifier.generation().isPresent() && moves < plan.greatestResumes()) {
      // The generation may still be reachable through another daemon.
      move(answer.map(OperatorAnswer::message).orElse("status " + status));
      return;
    }
    finish(
        verifier.generation().isPresent()
            ? CallResult.Ending.INCOMPLETE
            : CallResult.Ending.REFUSED,
        answer.map(OperatorAnswer::code).orElse(0),
        answer
            .map(refusal -> refusal.name() + ": " + refusal.message())
            .orElse("status " + status));
  }

  private void broken(String reason) {
    if (verifier.generation().isEmpty()) {
      finish(CallResult.Ending.INCOMPLETE, 0, reason + "; the request may have run");
    } else {
      move(reason);
    }
  }

  /** Goes on at the next daemon; nothing was sent, or the generation can be resumed. */
  private void move(String reason) {
    if (moves >= plan.greatestResumes()) {
      boolean started = verifier.generation().isPresent();
      finish(started ? CallResult.Ending.INCOMPLETE : CallResult.Ending.UNREACHABLE, 0, reason);
      return;
    }
    moves++;
    server++;
    vertx.setTimer(PAUSE_MILLIS, timer -> connect());
  }

  private void finish(CallResult.Ending ending, int code, String message) {
    result.tryComplete(
        new CallResult(
            ending, code, message, verifier.generation(), verifier.tokens(), moves, firstToken));
  }
}
