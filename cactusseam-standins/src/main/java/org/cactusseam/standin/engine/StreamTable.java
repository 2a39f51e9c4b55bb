package org.cactusseam.standin.engine;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Holds the streams of one incarnation of the engine, and removes disconnected streams that are not
 * resumed within the resume window.
 */
final class StreamTable {

  private final Vertx vertx;
  private final long resumeWindowMs;
  private final Supplier<OptionalInt> droppedTokenIndex;
  private final Consumer<TokenStream> onAbandoned;
  private final Map<String, TokenStream> streams = new HashMap<>();
  private final Map<TokenStream, Long> removalTimers = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param vertx Vert.x instance for the removal timers
   * @param resumeWindowMs time for which a disconnected stream is kept, in milliseconds
   * @param droppedTokenIndex index of the token whose event is omitted once per stream; empty for
   *     none
   * @param onAbandoned called with each stream that was removed because it was not resumed in time
   */
  StreamTable(
      Vertx vertx,
      long resumeWindowMs,
      Supplier<OptionalInt> droppedTokenIndex,
      Consumer<TokenStream> onAbandoned) {
    this.vertx = vertx;
    this.resumeWindowMs = resumeWindowMs;
    this.droppedTokenIndex = droppedTokenIndex;
    this.onAbandoned = onAbandoned;
  }

  Optional<TokenStream> find(String id) {
    return Optional.ofNullable(streams.get(id));
  }

  void add(TokenStream stream) {
    streams.put(stream.request().stream(), stream);
  }

  /** Removes all streams, as a crash does, and cancels their timers. */
  void clear() {
    streams.clear();
    removalTimers.values().forEach(vertx::cancelTimer);
    removalTimers.clear();
  }

  /**
   * Attaches a connection to a stream and detaches it when it closes. A connection that is already
   * closed never calls its close handler, so it is detached here.
   */
  void attach(TokenStream stream, HttpServerResponse response, boolean events, int from) {
    cancelRemoval(stream);
    response.closeHandler(closed -> detach(stream, response));
    response.exceptionHandler(failed -> detach(stream, response));
    response.drainHandler(drained -> advance(stream));
    stream.attach(response, events, from);
    if (response.closed()) {
      detach(stream, response);
    }
  }

  /**
   * Sends the tokens that are ready, and schedules the removal of the stream if its response has
   * ended.
   */
  void advance(TokenStream stream) {
    if (stream.advance(droppedTokenIndex.get())) {
      scheduleRemoval(stream);
    }
  }

  private void detach(TokenStream stream, HttpServerResponse response) {
    if (stream.detach(response)) {
      scheduleRemoval(stream);
    }
  }

  private void scheduleRemoval(TokenStream stream) {
    cancelRemoval(stream);
    long timer = vertx.setTimer(Math.max(1, resumeWindowMs), fired -> remove(stream));
    removalTimers.put(stream, timer);
  }

  private void cancelRemoval(TokenStream stream) {
    Long timer = removalTimers.remove(stream);
    if (timer != null) {
      vertx.cancelTimer(timer);
    }
  }

  private void remove(TokenStream stream) {
    removalTimers.remove(stream);
    if (streams.remove(stream.request().stream(), stream)) {
      onAbandoned.accept(stream);
    }
  }
}
