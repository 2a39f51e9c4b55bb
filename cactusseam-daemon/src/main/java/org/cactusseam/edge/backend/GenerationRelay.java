package org.cactusseam.edge.backend;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import java.time.Clock;
import java.util.Optional;
import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.logic.stream.TokenSequencer;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Delivers one generation from an engine, each token once and in order, across broken connections.
 * It never starts a generation: it only attaches to one and attaches again.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
public final class GenerationRelay {

  /** Receiver of a generation. */
  public interface Sink {

    /**
     * A token arrived.
     *
     * @param index index of the token
     * @param data completion chunk
     */
    void token(long index, String data);

    /**
     * The generation is whole.
     *
     * @param finish last chunk, with finish reason and usage
     * @param tokens number of tokens
     */
    void completed(String finish, long tokens);

    /**
     * The generation cannot be continued.
     *
     * @param code numbered reason
     * @param detail text for people
     */
    void lost(ResultCode code, String detail);

    /**
     * Tells whether the receiver wants no more for now; it calls {@link GenerationRelay#proceed}
     * later.
     *
     * @return true to pause
     */
    boolean isFull();
  }

  /** An engine that is unreachable for longer has lost the stream or drops it soon. */
  private static final long RESUME_WINDOW_MILLIS = 10_000;

  private static final long RESUME_INTERVAL_MILLIS = 200;

  /** An engine that sends nothing for this long is attached to again; it may be a stalled link. */
  private static final long STALL_MILLIS = 15_000;

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAXIMUM_EVENT_BYTES = 64 * 1024;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final String NO_FINISH = "\"finish_reason\":null";

  private final Vertx vertx;
  private final Clock clock;
  private final HttpClient client;
  private final BackendServer server;
  private final GenerationId generation;
  private final Sink sink;
  private final TokenSequencer sequencer;
  private @Nullable HttpClientResponse attached;
  private @Nullable RecordParser events;
  private @Nullable String finish;

  /** A number, because an object for each token would cost time in every collection. */
  private long resumeDeadlineMillis;

  private long attachment;
  private long stallTimer = -1;
  private boolean ended;

  /**
   * Creates a relay that is not attached yet.
   *
   * @param vertx event loops
   * @param clock source of time
   * @param client HTTP client of this event loop
   * @param server engine
   * @param generation generation
   * @param nextIndex index of the first token that the receiver lacks
   * @param sink receiver
   */
  public GenerationRelay(
      Vertx vertx,
      Clock clock,
      HttpClient client,
      BackendServer server,
      GenerationId generation,
      long nextIndex,
      Sink sink) {
    this.vertx = vertx;
    this.clock = clock;
    this.client = client;
    this.server = server;
    this.generation = generation;
    this.sink = sink;
    this.sequencer = new TokenSequencer(nextIndex);
    this.resumeDeadlineMillis = clock.millis() + RESUME_WINDOW_MILLIS;
  }

  /**
   * Reads the generation from a response of the engine.
   *
   * @param response response whose body was not read yet
   */
  public void attach(HttpClientResponse response) {
    long current = ++attachment;
    attached = response;
    // The callers have read them; they would be held as long as the stream lasts.
    response.headers().clear();
    RecordParser parser = RecordParser.newDelimited("\n\n", response);
    events = parser;
    parser.maxRecordSize(MAXIMUM_EVENT_BYTES);
    parser.exceptionHandler(cause -> broken(current, String.valueOf(cause.getMessage())));
    parser.endHandler(ignored -> broken(current, "the stream ended early"));
    parser.handler(block -> event(current, block.toString()));
    watchStall(current);
  }

  /** Attaches by a new connection, from the first token that the receiver lacks. */
  public void resume() {
    if (ended) {
      return;
    }
    detach();
    long current = attachment;
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(server.host())
            .setPort(server.port())
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setURI("/streams/" + generation.stream() + "?from=" + sequencer.nextIndex());
    client
        .request(options)
        .compose(request -> request.send())
        .onSuccess(response -> resumed(current, response))
        .onFailure(cause -> retryResume(current, String.valueOf(cause.getMessage())));
  }

  private void resumed(long current, HttpClientResponse response) {
    if (ended || current != attachment) {
      abort(response);
      return;
    }
    boolean otherRun =
        Headers.condition(response.headers())
            .map(condition -> !condition.incarnation().equals(generation.incarnation()))
            .orElse(false);
    if (response.statusCode() == STATUS_NOT_FOUND || otherRun) {
      abort(response);
      lose("the engine no longer has the stream");
    } else if (response.statusCode() != STATUS_OK || isOtherStream(response)) {
      abort(response);
      retryResume(current, "resume answered with status " + response.statusCode());
    } else {
      attach(response);
    }
  }

  /** An engine or a proxy before it that mixes answers up names another stream. */
  private boolean isOtherStream(HttpClientResponse response) {
    return Optional.ofNullable(response.getHeader(Headers.STREAM))
        .map(stream -> !stream.equals(generation.stream()))
        .orElse(false);
  }

  private void retryResume(long current, String reason) {
    if (ended || current != attachment) {
      return;
    }
    if (clock.millis() > resumeDeadlineMillis) {
      lose("the engine cannot be reached: " + reason);
      return;
    }
    vertx.setTimer(
        RESUME_INTERVAL_MILLIS,
        timer -> {
          if (current == attachment) {
            resume();
          }
        });
  }

  private void event(long current, String block) {
    if (ended || current != attachment) {
      return;
    }
    resumeDeadlineMillis = clock.millis() + RESUME_WINDOW_MILLIS;
    ServerSentEvent event;
    try {
      event = ServerSentEvent.parse(block);
    } catch (NumberFormatException e) {
      broken(current, "event without a token index");
      return;
    }
    if (event.isDone()) {
      finished();
    } else {
      chunk(event);
    }
  }

  private void chunk(ServerSentEvent event) {
    boolean last = !event.data().contains(NO_FINISH) && hasFinishReason(event.data());
    if (event.index().isPresent() && !(last && isEmptyChunk(event.data()))) {
      token(event);
    }
    if (last) {
      finish = event.data();
    }
  }

  private void token(ServerSentEvent event) {
    long index = event.index().getAsLong();
    switch (sequencer.accept(index)) {
      case DELIVER -> {
        sink.token(index, event.data());
        if (sink.isFull() && events != null) {
          // The parser resumes the response whenever it needs more bytes, so it is paused itself.
          events.pause();
        }
      }
      case RESUME -> resume();
      default -> {
        // The receiver has this token already.
      }
    }
  }

  private static boolean hasFinishReason(String data) {
    return choice(data).map(choice -> choice.getString("finish_reason") != null).orElse(false);
  }

  private static boolean isEmptyChunk(String data) {
    return choice(data)
        .map(
            choice ->
                choice.getString("text", "").isEmpty()
                    && choice.getJsonObject("delta", new JsonObject()).isEmpty())
        .orElse(true);
  }

  private static Optional<JsonObject> choice(String data) {
    try {
      return Optional.ofNullable(new JsonObject(data).getJsonArray("choices"))
          .filter(choices -> !choices.isEmpty())
          .map(choices -> choices.getJsonObject(0));
    } catch (DecodeException | ClassCastException e) {
      return Optional.empty();
    }
  }

  /** The end is believed only with a finish reason and all tokens that the engine counted. */
  private void finished() {
    if (finish == null || declaredTokens(finish) > sequencer.nextIndex()) {
      resume();
      return;
    }
    ended = true;
    stopTimers();
    sink.completed(finish, sequencer.nextIndex());
  }

  private static long declaredTokens(String data) {
    JsonObject usage = new JsonObject(data).getJsonObject("usage", new JsonObject());
    return usage.getLong("completion_tokens", -1L);
  }

  private void broken(long current, String reason) {
    if (!ended && current == attachment) {
      attachment++;
      attached = null;
      events = null;
      retryResume(attachment, reason);
    }
  }

  private void lose(String detail) {
    ended = true;
    detach();
    sink.lost(ResultCode.STREAM_LOST, detail);
  }

  /** Continues after the receiver was full. */
  public void proceed() {
    if (events != null && !ended) {
      events.resume();
    }
  }

  /** Leaves the generation. The engine keeps it for its resume window. */
  public void leave() {
    ended = true;
    detach();
  }

  /** Leaves the generation and lets the engine cancel it. */
  public void cancel() {
    leave();
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.DELETE)
            .setHost(server.host())
            .setPort(server.port())
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setURI("/streams/" + generation.stream());
    client.request(options).compose(request -> request.send());
  }

  /**
   * Returns the number of tokens that the receiver has.
   *
   * @return index of the next token
   */
  public long nextIndex() {
    return sequencer.nextIndex();
  }

  private void detach() {
    attachment++;
    stopTimers();
    HttpClientResponse response = attached;
    attached = null;
    events = null;
    if (response != null) {
      abort(response);
    }
  }

  /** Closes the connection: its unread bytes must never reach another request. */
  private static void abort(HttpClientResponse response) {
    response.request().reset();
  }

  private void watchStall(long current) {
    stopTimers();
    long seen = resumeDeadlineMillis;
    stallTimer =
        vertx.setTimer(
            STALL_MILLIS,
            timer -> {
              if (ended || current != attachment) {
                return;
              }
              if (seen == resumeDeadlineMillis && !sink.isFull()) {
                resume();
              } else {
                watchStall(current);
              }
            });
  }

  private void stopTimers() {
    vertx.cancelTimer(stallTimer);
  }
}
