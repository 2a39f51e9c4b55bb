package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cactusseam.logic.gateway.KvCopies;
import org.cactusseam.logic.gateway.RouteDecision;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.KvCopyReference;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.VersionFilter;
import org.jspecify.annotations.Nullable;

/**
 * A request whose response is a stream of events. When its server fails or leaves, the stream
 * continues on another server: from a copy of the run's KV cache or, if the route permits it, as a
 * new run that resumes after the last event. The caller receives one uninterrupted response with
 * the headers of the first server.
 */
final class StreamExchange extends Exchange {

  private static final int STATUS_OK = 200;
  private static final int STATUS_SERVER_ERROR = 500;

  /** Pause after a move that the retry budget has denied. */
  private static final Duration MOVE_RETRY_DELAY = Duration.ofMillis(250);

  private final HttpServerResponse response;
  private @Nullable StreamRun current;
  private boolean headWritten;
  private OptionalLong lastDeliveredId = OptionalLong.empty();
  private final KvCopies kvCopies = new KvCopies();
  private final StreamTimings timings = new StreamTimings();
  private int continuations;
  private Instant nextMoveAt = Instant.MIN;

  /** Version of the server that began the stream; empty before the first event. */
  private Optional<String> version = Optional.empty();

  StreamExchange(
      Gateway gateway,
      HttpServerRequest incoming,
      Buffer body,
      CallerRequest head,
      RouteDecision.Accepted accepted,
      GatewayService service,
      Instant receivedAt) {
    super(gateway, incoming, body, head, accepted, service, receivedAt);
    this.response = incoming.response();
    // The caller resumes an earlier stream: the event that it names counts as delivered.
    head.lastEventId().ifPresent(this::resumeAfter);
  }

  private void resumeAfter(String id) {
    try {
      lastDeliveredId = OptionalLong.of(Long.parseLong(id));
    } catch (NumberFormatException e) {
      log.info("unknown_event_identity", field("last_event", id));
    }
  }

  /**
   * Returns the version that began the stream, because what another one writes does not continue
   * it; before that, the versions at which it may begin. Operators who order roll-outs have streams
   * moved between versions.
   */
  @Override
  VersionFilter versions() {
    if (!gateway.rollouts().table().isEmpty()) {
      return super.versions();
    }
    return version
        .map(known -> VersionFilter.only(Set.of(known)))
        .orElseGet(
            () ->
                isOriginNeeded()
                    ? gateway.streamOrigins().versionsThatMayBegin(service.name())
                    : super.versions());
  }

  /** Returns whether a caller may take the stream up, and it has not begun. */
  private boolean isOriginNeeded() {
    return route.repetition().isRepeatable() && version.isEmpty();
  }

  /**
   * Finds out which version began a stream that is taken up. If no server of it is left, or the
   * version cannot be known, waiting would not help the caller.
   */
  @Override
  void begin() {
    if (head.lastEventId().isEmpty()
        || head.resumedAttempt().isEmpty()
        || !gateway.rollouts().table().isEmpty()) {
      sendOrEnqueue();
      return;
    }
    String firstAttempt = head.resumedAttempt().get();
    gateway
        .streamOrigins()
        .find(firstAttempt, service.name())
        .onSuccess(found -> takeUp(firstAttempt, found));
  }

  private void takeUp(String firstAttempt, Optional<String> found) {
    if (isFinished()) {
      return;
    }
    version = found;
    log.info(
        "taken_up",
        field("first_attempt", firstAttempt),
        field("version", found.orElse("unknown")));
    if (found.isEmpty()) {
      refuse("it is not known which version began the stream");
    } else if (!gateway.serverSelector().isServable(requirements())) {
      refuse("no server of the version that began the stream");
    } else {
      sendOrEnqueue();
    }
  }

  /**
   * Records where the stream begins, if a caller can take it up.
   *
   * @return completes when the first event may reach the caller
   */
  private Future<Void> recordOrigin(ServerInstance server) {
    return isOriginNeeded()
        ? gateway.streamOrigins().recordSent(head.attemptId(), server)
        : Future.succeededFuture();
  }

  private boolean mayContinueOn(ServerInstance server) {
    return gateway.rollouts().mayContinueOn(server) && versions().accepts(server);
  }

  @Override
  void send(ServerInstance server) {
    start(server, Optional.empty());
  }

  private void start(ServerInstance server, Optional<KvCopyReference> continuation) {
    recordSend(server);
    current = new StreamRun(this, server, continuation, recordOrigin(server));
    current.start();
  }

  Optional<String> lastEventId() {
    return lastDeliveredId.isPresent()
        ? Optional.of(Long.toString(lastDeliveredId.getAsLong()))
        : head.lastEventId();
  }

  /**
   * Writes the head of the response, with the headers of the first server, unless it is written.
   */
  void writeHead(StreamRun run) {
    if (!headWritten) {
      headWritten = true;
      response.setStatusCode(STATUS_OK).setChunked(true);
      response.headers().addAll(run.responseHeaders());
      addCloseHeader();
    }
  }

  void onEvent(StreamRun run, EventSplitter.Event event) {
    if (isFinished() || run != current) {
      return;
    }
    if (event.id().isPresent()
        && lastDeliveredId.isPresent()
        && event.id().getAsLong() <= lastDeliveredId.getAsLong()) {
      return;
    }
    writeHead(run);
    if (version.isEmpty()) {
      version = Optional.of(run.server().version());
    }
    if (event.id().isPresent()) {
      lastDeliveredId = event.id();
    }
    timings.recordDelivery(gateway.clock().instant());
    response.write(event.bytes());
    if (response.writeQueueFull()) {
      run.pause();
      response.drainHandler(drained -> run.resume());
    }
  }

  void onCompleted(StreamRun run) {
    if (isFinished() || run != current) {
      return;
    }
    writeHead(run);
    logStream("answered", "whole");
    finish();
    endResponse(Buffer.buffer());
  }

  private void logStream(String outcome, String reason) {
    log.info(
        "stream",
        field("events", timings.eventCount()),
        field("first_event_ms", timings.millisToFirstEvent(receivedAt)),
        field("longest_gap_ms", timings.longestGapMillis()),
        field("gap_before_event", timings.eventAfterLongestGap()),
        field("continuations", continuations));
    logEnd(outcome, STATUS_OK, reason);
  }

  /**
   * Called when the server responded with an error status. The request is retried on another server
   * if possible, otherwise the error is forwarded to the caller.
   */
  void onServerError(StreamRun run, int status, Buffer content) {
    if (isFinished() || run != current) {
      return;
    }
    if (headWritten || (status >= STATUS_SERVER_ERROR && canRunAgain(run))) {
      onBroken(run, "the server failed with status " + status);
      return;
    }
    if (isFalsePromise(status)) {
      failMayHaveRun("the server answered with status " + status);
      return;
    }
    logEnd("answered", status, "failure");
    finish();
    response.setStatusCode(status);
    response.headers().addAll(run.responseHeaders());
    addCloseHeader();
    endResponse(content);
  }

  /** Called when the server has not run the request and will not run it. */
  void onNotRun(StreamRun run, String reason) {
    if (isFinished() || run != current) {
      return;
    }
    current = null;
    excluded.add(run.server().id());
    if (run.isContinuation()) {
      continueElsewhere(run, reason);
    } else if (gateway.serverSelector().isServable(requirements())
        && tryRetry("retry", run.server(), reason)) {
      sendOrEnqueue();
    } else {
      endUnserved(reason);
    }
  }

  /**
   * Called when the origin of a run could not be recorded, so that its events must not reach the
   * caller. If no record can appear later, the request runs again where it needs none. Otherwise
   * the caller, who knows of no event, may begin a new attempt.
   */
  void onUnrecorded(StreamRun run, Throwable cause) {
    if (isFinished() || run != current) {
      return;
    }
    current = null;
    run.abort();
    String reason = "the origin of the stream cannot be recorded";
    if (cause instanceof NotExecutedException
        && canRunAgain()
        && tryRetry("restarted", run.server(), reason)) {
      sendOrEnqueue();
    } else {
      endUnserved(reason);
    }
  }

  /** Called when the stream of a run broke off before its regular end. */
  void onBroken(StreamRun run, String reason) {
    if (isFinished() || run != current) {
      return;
    }
    current = null;
    excluded.add(run.server().id());
    log.info(
        "stream_broken",
        field("server", run.server().id()),
        field("reason", reason),
        field("last_event", lastDeliveredId.isPresent() ? lastDeliveredId.getAsLong() : "none"));
    continueElsewhere(run, reason);
  }

  private void continueElsewhere(StreamRun run, String reason) {
    // The budget is asked first: a copy that is taken off the list can be used only now.
    if (kvCopies.hasUsable(this::mayContinueOn) && tryRetry("retry", run.server(), reason)) {
      continueFrom(kvCopies.poll(this::mayContinueOn).orElseThrow());
    } else if (canRunAgain(run) && tryRetry("resumed", run.server(), reason)) {
      sendOrEnqueue();
    } else {
      endUnserved(reason);
    }
  }

  private boolean canRunAgain(StreamRun run) {
    excluded.add(run.server().id());
    return canRunAgain();
  }

  /**
   * Returns whether the stream can continue on another server without a copy of its current run.
   */
  boolean canRunAgain() {
    return route.repetition().isRepeatable()
        && runs < route.maximumRuns()
        && !isSuspected()
        && gateway.serverSelector().isServable(requirements());
  }

  KvCopies kvCopies() {
    return kvCopies;
  }

  /** Continues the run on the server that holds a copy of its KV cache. */
  private void continueFrom(KvCopies.Copy copy) {
    continuations++;
    gateway.metrics().recordContinuation(route.name());
    log.info(
        "continued",
        field("server", copy.holder().id()),
        field("handle", copy.continuation().handle()),
        field("last_event", lastDeliveredId.isPresent() ? lastDeliveredId.getAsLong() : "none"));
    start(copy.holder(), Optional.of(copy.continuation()));
  }

  @Override
  void endUnserved(String reason) {
    if (headWritten) {
      abortResponse(reason);
    } else if (runs == 0) {
      refuse(reason);
    } else {
      failMayHaveRun(reason);
    }
  }

  /** Closes the connection to the caller, so that the response does not look complete. */
  private void abortResponse(String reason) {
    logStream("broken_off", reason);
    finish();
    incoming.connection().close();
  }

  @Override
  void cancel() {
    if (current != null) {
      current.recordAborted();
      current.abort();
      current = null;
    }
  }

  @Override
  boolean hasBegun() {
    return headWritten;
  }

  @Override
  void onDeadline() {
    if (headWritten) {
      abortResponse("the time limit is over");
    } else if (runs == 0) {
      refuse("no server within the time limit");
    } else {
      failTimeout("no event within the time limit");
    }
    cancel();
  }

  @Override
  boolean needsCopyFrom(ServerInstance engine) {
    return current != null
        && current.server().id().equals(engine.id())
        && current.isEligibleForCopy()
        && !current.hasUsableCopy();
  }

  @Override
  void tick(Instant now) {
    if (current != null) {
      current.tick(now);
    }
    if (current != null && current.isMovable() && !nextMoveAt.isAfter(now)) {
      nextMoveAt = now.plus(MOVE_RETRY_DELAY);
      move(current);
    }
  }

  /** Moves the stream off a server whose version is replaced, if the retry budget permits it. */
  private void move(StreamRun run) {
    if (!tryRetry("moved", run.server(), "its version is replaced")) {
      return;
    }
    current = null;
    excluded.add(run.server().id());
    run.handOver();
    if (kvCopies.hasUsable(this::mayContinueOn)) {
      continueFrom(kvCopies.poll(this::mayContinueOn).orElseThrow());
    } else {
      sendOrEnqueue();
    }
  }
}
