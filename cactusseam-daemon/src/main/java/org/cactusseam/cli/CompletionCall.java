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
 * One completion request, resumed on other daemons if its stream breaks. A request that may have
 * reached a daemon is never resent: before the first token its generation is unknown, and running
 * it twice could do harm.
 *
 * <p>Runs on a single event loop.
 */
final class CompletionCall {

  private static final int STATUS_OK = 200;
  // Gives a restarting daemon time to come back before the maximum number of resumes is used up.
  private static final long RECONNECT_DELAY_MILLIS = 200;

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
  private int failovers;

  /** Receives the tokens of a call. */
  interface Listener {

    /**
     * Receives a token.
     *
     * @param text text of the token
     * @param sincePrevious time since the previous token; empty for the first token
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
   * Sends the request and follows its stream to the end.
   *
   * @return outcome of the call; the future never fails
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
        .onFailure(failure -> failOver("no connection: " + failure));
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
    attempt.checkIdleTimeout();
    boolean resumes = verifier.generation().isPresent();
    Future<HttpClientResponse> response = resumes ? request.send() : request.send(plan.body());
    response
        .onSuccess(head -> receive(head, attempt))
        .onFailure(failure -> attempt.end(() -> handleBrokenConnection(failure.toString())));
  }

  private void receive(HttpClientResponse response, Attempt attempt) {
    if (response.statusCode() != STATUS_OK) {
      response
          .body()
          .onSuccess(body -> attempt.end(() -> handleRefusal(response.statusCode(), body)))
          .onFailure(failure -> attempt.end(() -> handleBrokenConnection(failure.toString())));
      return;
    }
    ServerSentEvents events = new ServerSentEvents();
    RecordParser lines = RecordParser.newDelimited("\n", response);
    lines.handler(
        line -> {
          attempt.lastData = clock.instant();
          events.accept(line.toString()).ifPresent(event -> handleEvent(event, attempt));
        });
    lines.exceptionHandler(
        failure -> attempt.end(() -> handleBrokenConnection(failure.toString())));
    lines.endHandler(
        end ->
            attempt.end(
                () ->
                    handleBrokenConnection(
                        "the connection closed before the response was complete")));
  }

  /** One connection of the call. Its first end determines the outcome; later events are ignored. */
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

    /**
     * Ends the attempt if no data arrives within the idle timeout. The timeout of the HTTP client
     * only covers the time until the response headers.
     */
    void checkIdleTimeout() {
      if (ended) {
        return;
      }
      Duration remaining = plan.idleTimeout().minus(Duration.between(lastData, clock.instant()));
      if (remaining.isPositive()) {
        vertx.setTimer(remaining.toMillis() + 1, timer -> checkIdleTimeout());
      } else {
        end(
            () ->
                handleBrokenConnection("no data within " + plan.idleTimeout().toMillis() + " ms"));
        request.reset();
      }
    }
  }

  private void handleEvent(ServerSentEvents.Event event, Attempt attempt) {
    if (attempt.ended) {
      return;
    }
    switch (verifier.accept(event)) {
      case StreamVerifier.Token(String text) -> deliverToken(text);
      case StreamVerifier.Other other -> {
        // The stream continues.
      }
      case StreamVerifier.Complete complete ->
          attempt.end(() -> finish(CallResult.Ending.COMPLETE, 0, ""));
      case StreamVerifier.Resume resume -> {
        attempt.end(() -> handleBrokenConnection("the daemon asked to resume on another daemon"));
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

  private void deliverToken(String text) {
    Instant now = clock.instant();
    if (firstToken.isEmpty()) {
      firstToken = Optional.of(Duration.between(start, now));
    }
    listener.token(text, lastToken.map(previous -> Duration.between(previous, now)));
    lastToken = Optional.of(now);
  }

  private void handleRefusal(int status, Buffer body) {
    Optional<OperatorAnswer> answer = OperatorAnswer.parse(body.toString());
    if (verifier.generation().isPresent() && failovers < plan.maxResumes()) {
      // The generation may still be available through another daemon.
      failOver(answer.map(OperatorAnswer::message).orElse("HTTP status " + status));
      return;
    }
    finish(
        verifier.generation().isPresent()
            ? CallResult.Ending.INCOMPLETE
            : CallResult.Ending.REFUSED,
        answer.map(OperatorAnswer::code).orElse(0),
        answer
            .map(refusal -> refusal.name() + ": " + refusal.message())
            .orElse("HTTP status " + status));
  }

  private void handleBrokenConnection(String reason) {
    if (verifier.generation().isEmpty()) {
      finish(CallResult.Ending.INCOMPLETE, 0, reason + "; the request may have run");
    } else {
      failOver(reason);
    }
  }

  /**
   * Fails over to the next daemon. Only called if the request was not sent, or if the generation
   * can be resumed.
   */
  private void failOver(String reason) {
    if (failovers >= plan.maxResumes()) {
      boolean started = verifier.generation().isPresent();
      finish(started ? CallResult.Ending.INCOMPLETE : CallResult.Ending.UNREACHABLE, 0, reason);
      return;
    }
    failovers++;
    server++;
    vertx.setTimer(RECONNECT_DELAY_MILLIS, timer -> connect());
  }

  private void finish(CallResult.Ending ending, int code, String message) {
    result.tryComplete(
        new CallResult(
            ending,
            code,
            message,
            verifier.generation(),
            verifier.tokens(),
            failovers,
            firstToken));
  }
}
