package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusseam.edge.backend.BoundedBody;
import org.cactusseam.logic.gateway.StreamOnset;
import org.cactusseam.logic.gateway.StreamStallDetector;
import org.cactusseam.model.gateway.EngineCapabilities;
import org.cactusseam.model.gateway.KvCopyReference;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.ServerReply;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of a stream at one server, with the copies of its KV cache on other servers. The
 * notice that an engine gives before it leaves is shorter than a stream may last, so the run of a
 * leaving engine is copied to another one if it has no usable copy.
 */
final class StreamRun {

  /** Maximum length of an event. Events hold a few tokens, so longer ones are no answer. */
  private static final long MAX_EVENT_BYTES = 1 << 20;

  /**
   * Length of the events that are held back before the server is read more slowly. Streams that can
   * be taken up are short.
   */
  private static final int MAX_HELD_BYTES = 64 << 10;

  private final StreamExchange exchange;
  private final Gateway gateway;
  private final ServerInstance server;
  private final Optional<KvCopyReference> continuation;
  private final Future<Void> deliverable;
  private final EventSplitter splitter;
  private final KvCopier copier;
  private @Nullable HttpClientRequest outgoing;
  private @Nullable HttpClientResponse response;
  private final StreamStallDetector stallDetector;
  private final StreamOnset onset = new StreamOnset();
  private boolean released;
  private Instant sentAt = Instant.MIN;
  private int pendingPrefillTokens;
  private final List<EventSplitter.Event> held = new ArrayList<>();
  private int heldBytes;
  private boolean isComplete;
  private final StreamOutcome outcome;

  /**
   * Creates a run that has not been sent.
   *
   * @param exchange request of the caller
   * @param server server that gets it
   * @param continuation copy from which it continues; empty for a new run
   * @param deliverable completes when events may reach the caller
   */
  StreamRun(
      StreamExchange exchange,
      ServerInstance server,
      Optional<KvCopyReference> continuation,
      Future<Void> deliverable) {
    this.deliverable = deliverable;
    this.exchange = exchange;
    this.gateway = exchange.gateway;
    this.server = server;
    this.continuation = continuation;
    this.copier = new KvCopier(exchange, server);
    this.splitter = new EventSplitter(this::onEvent);
    this.outcome = new StreamOutcome(gateway, exchange.route, server, continuation.isEmpty());
    this.stallDetector = new StreamStallDetector(exchange.route, gateway.clock().instant());
  }

  ServerInstance server() {
    return server;
  }

  boolean isContinuation() {
    return continuation.isPresent();
  }

  MultiMap responseHeaders() {
    return response == null
        ? MultiMap.caseInsensitiveMultiMap()
        : gateway.headerCodec().responseHeaders(response.headers());
  }

  private void onEvent(EventSplitter.Event event) {
    // Bytes that complete no event are no activity: a stalled engine may still send some of them.
    Instant now = gateway.clock().instant();
    stallDetector.recordActivity(now);
    outcome.recordEvent(now);
    endPrefill();
    if (onset.recordEvent(now) && continuation.isEmpty()) {
      exchange.recordAnswered();
    }
    if (deliverable.succeeded()) {
      exchange.onEvent(this, event);
    } else {
      hold(event);
    }
  }

  private void endPrefill() {
    gateway.loads().endPrefill(server.id(), pendingPrefillTokens);
    pendingPrefillTokens = 0;
  }

  void start() {
    awaitDeliverable();
    gateway.loads().addRun(server.id(), exchange.expectedTokens());
    if (continuation.isEmpty()) {
      pendingPrefillTokens = exchange.promptTokens();
      gateway.loads().startPrefill(server.id(), pendingPrefillTokens);
    }
    gateway
        .client()
        .request(
            exchange.requestOptions(
                server, exchange.createServerCall(server, exchange.lastEventId(), continuation)))
        .onSuccess(this::onConnected)
        .onFailure(this::onUnreachable);
  }

  private void onConnected(HttpClientRequest request) {
    outgoing = request;
    if (released) {
      request.reset();
      return;
    }
    sentAt = gateway.clock().instant();
    if (continuation.isEmpty()) {
      exchange.runs++;
    }
    request
        .response()
        .onSuccess(this::onResponse)
        .onFailure(cause -> onBroken("no answer: " + cause.getMessage()));
    exchange.sendBody(request);
  }

  private void onUnreachable(Throwable cause) {
    if (released) {
      return;
    }
    release();
    gateway.health().recordUnreachable(server.id(), gateway.clock().instant());
    outcome.recordFailure();
    exchange.onNotRun(this, "cannot connect: " + cause.getMessage());
  }

  private void onResponse(HttpClientResponse received) {
    if (released) {
      return;
    }
    stallDetector.recordActivity(gateway.clock().instant());
    response = received;
    ServerReply reply = gateway.decodeReply(received, exchange.head.attemptId(), server, sentAt);
    if (reply.notRun()) {
      exchange.recordStatement(server, reply);
      if (continuation.isEmpty()) {
        exchange.runs--;
      }
      abort();
      exchange.onNotRun(this, "not run, status " + reply.status());
    } else if (reply.isIgnoredStatement()) {
      exchange.recordStatement(server, reply);
      onBroken("a statement that cannot be believed, status " + reply.status());
    } else if (reply.isInterim()) {
      onBroken("interim status " + reply.status() + " in place of an answer");
    } else if (!reply.answersAttempt()) {
      onBroken("the answer is not of this request");
    } else if (!reply.isSuccess()) {
      BoundedBody.read(received, BufferedExchange.MAX_RESPONSE_BYTES)
          .onSuccess(
              content -> {
                if (released) {
                  return;
                }
                gateway.health().recordFailure(server.id());
                outcome.recordError(reply.status());
                release();
                exchange.onServerError(this, reply.status(), content);
              })
          .onFailure(cause -> onBroken("the answer broke off: " + cause.getMessage()));
    } else if (!reply.signed()) {
      onBroken("the answer bears no receipt of its run");
    } else {
      received.handler(this::onBytes);
      received.exceptionHandler(cause -> onBroken(String.valueOf(cause.getMessage())));
      received.endHandler(ended -> onEnd());
    }
  }

  /** Holds the events back until they may reach the caller. */
  private void awaitDeliverable() {
    deliverable
        .onSuccess(ignored -> deliverHeld())
        .onFailure(cause -> exchange.onUnrecorded(this, cause));
  }

  private void hold(EventSplitter.Event event) {
    held.add(event);
    heldBytes += event.bytes().length();
    if (heldBytes > MAX_HELD_BYTES) {
      pause();
    }
  }

  private void deliverHeld() {
    List<EventSplitter.Event> events = List.copyOf(held);
    held.clear();
    events.forEach(event -> exchange.onEvent(this, event));
    if (isComplete) {
      exchange.onCompleted(this);
    } else if (!events.isEmpty()) {
      resume();
    }
  }

  private void onBytes(Buffer bytes) {
    if (released) {
      return;
    }
    splitter.add(bytes);
    if (splitter.incompleteBytes() > MAX_EVENT_BYTES) {
      onBroken("an event is longer than " + MAX_EVENT_BYTES + " bytes");
    }
  }

  private void onEnd() {
    if (released) {
      return;
    }
    if (!splitter.isAtEventEnd()) {
      onBroken("the stream ended within an event");
      return;
    }
    if (!onset.hasBegun() && endsWithConnection()) {
      onBroken("the connection ended before the first event");
      return;
    }
    gateway.health().recordSuccess(server.id());
    if (onset.recordEnd() && continuation.isEmpty()) {
      exchange.recordAnswered();
    }
    release();
    isComplete = true;
    if (deliverable.succeeded()) {
      exchange.onCompleted(this);
    }
  }

  /** Returns whether only the end of the connection marks the end of the response. */
  private boolean endsWithConnection() {
    MultiMap headers = response == null ? MultiMap.caseInsensitiveMultiMap() : response.headers();
    return !headers.contains("Content-Length") && !headers.contains("Transfer-Encoding");
  }

  /** Called when the server closed the connection, or when its bytes are no answer. */
  private void onBroken(String reason) {
    if (released) {
      return;
    }
    if (continuation.isPresent() || !onset.isSuspect(gateway.clock().instant())) {
      giveUp(reason);
      return;
    }
    abort();
    gateway.health().recordUnreachable(server.id(), gateway.clock().instant());
    outcome.recordFailure();
    if (onset.hasBegun()) {
      keepCopy();
    }
    exchange
        .recordUnanswered(server, response != null)
        .onComplete(checked -> exchange.onBroken(this, reason));
  }

  private void giveUp(String reason) {
    if (released) {
      return;
    }
    abort();
    gateway.health().recordUnreachable(server.id(), gateway.clock().instant());
    outcome.recordFailure();
    keepCopy();
    exchange.onBroken(this, reason);
  }

  /** Returns whether a roll-out replaces the server and the run can continue on another one. */
  boolean isMovable() {
    return !released
        && outgoing != null
        && gateway.rollouts().isReplaced(server)
        && (copier.hasCopyOnLastingServer() || exchange.canRunAgain());
  }

  /** Ends the run, so that the stream continues on another server. */
  void handOver() {
    abort();
    keepCopy();
  }

  /** Records that the stream is no longer wanted. */
  void recordAborted() {
    outcome.recordAborted();
  }

  /** Keeps the copy of the run, if there is one, so that the stream can continue from it. */
  private void keepCopy() {
    copier.copy().ifPresent(exchange.kvCopies()::add);
  }

  void tick(Instant now) {
    if (released || outgoing == null) {
      return;
    }
    if (response != null && isEligibleForCopy()) {
      copier.tick(now);
    }
    if (stallDetector.tryStartProbe(now)) {
      probeServer();
    }
  }

  boolean hasUsableCopy() {
    return copier.hasUsableCopy();
  }

  boolean isEligibleForCopy() {
    return !exchange.route.repetition().isRepeatable()
        && exchange.service.engine().filter(EngineCapabilities::supportsKvCopy).isPresent();
  }

  private void probeServer() {
    gateway
        .engineClient()
        .report(server)
        .onFailure(
            cause -> {
              boolean canContinue = copier.hasUsableCopy() || exchange.canRunAgain();
              boolean ended = stallDetector.isTimedOut(canContinue, gateway.clock().instant());
              exchange.log.info(
                  "stream_silent",
                  field("server", server.id()),
                  field("cause", cause.getMessage()),
                  field("can_continue", canContinue),
                  field("given_up", ended));
              if (ended) {
                giveUp("silent and does not answer: " + cause.getMessage());
              }
            });
  }

  void pause() {
    if (response != null) {
      response.pause();
    }
  }

  void resume() {
    if (response != null) {
      response.resume();
    }
  }

  /** Cancels the run at the server by closing the connection to it. */
  void abort() {
    release();
    if (outgoing != null) {
      outgoing.connection().close();
    }
  }

  private void release() {
    if (released) {
      return;
    }
    released = true;
    endPrefill();
    gateway.loads().removeRun(server.id(), exchange.expectedTokens());
    copier.close();
    gateway.vertx().runOnContext(ignored -> gateway.startQueued());
  }
}
