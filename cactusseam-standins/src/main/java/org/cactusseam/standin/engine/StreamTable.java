package org.cactusseam.standin.engine;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The streams of an incarnation, and their removal when nobody resumes them in time. */
final class StreamTable {

  private final Vertx vertx;
  private final long resumeWindowMs;
  private final Supplier<OptionalInt> dropIndex;
  private final Consumer<TokenStream> onAbandoned;
  private final Map<String, TokenStream> streams = new HashMap<>();
  private final Map<TokenStream, Long> removalTimers = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param vertx source of timers
   * @param resumeWindowMs time that a stream without connection is kept, in milliseconds
   * @param dropIndex token whose event each stream loses once; empty for none
   * @param onAbandoned receives streams that nobody resumed in time
   */
  StreamTable(
      Vertx vertx,
      long resumeWindowMs,
      Supplier<OptionalInt> dropIndex,
      Consumer<TokenStream> onAbandoned) {
    this.vertx = vertx;
    this.resumeWindowMs = resumeWindowMs;
    this.dropIndex = dropIndex;
    this.onAbandoned = onAbandoned;
  }

  Optional<TokenStream> find(String id) {
    return Optional.ofNullable(streams.get(id));
  }

  void add(TokenStream stream) {
    streams.put(stream.request().stream(), stream);
  }

  /** Forgets all streams, as a crash does. */
  void clear() {
    streams.clear();
    removalTimers.values().forEach(vertx::cancelTimer);
    removalTimers.clear();
  }

  /** Attaches a connection and watches it. One that is closed already reports no later close. */
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

  /** Sends what is ready. */
  void advance(TokenStream stream) {
    if (stream.advance(dropIndex.get())) {
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
