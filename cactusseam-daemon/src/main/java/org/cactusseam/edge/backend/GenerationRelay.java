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
 * Delivers the tokens of one generation from an engine to a sink, each token once and in order.
 * After a broken connection it resumes the stream at the engine. It never starts a generation.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
public final class GenerationRelay {

  /** Receives the tokens and the end of a generation. */
  public interface Sink {

    /**
     * Handles the next token.
     *
     * @param index index of the token within the generation, from 0
     * @param data completion chunk of the engine, as JSON
     */
    void onToken(long index, String data);

    /**
     * Handles the end of a complete generation.
     *
     * @param finishChunk last completion chunk, with finish reason and usage
     * @param tokens number of tokens of the whole generation
     */
    void onCompleted(String finishChunk, long tokens);

    /**
     * Handles that the generation cannot be continued.
     *
     * @param code result code for the caller
     * @param detail explanation for people
     */
    void onLost(ResultCode code, String detail);

    /**
     * Tells whether the relay should pause. The sink calls {@link GenerationRelay#continueReading}
     * when it can take more tokens.
     *
     * @return true to pause reading from the engine
     */
    boolean isFull();
  }

  /**
   * Time to retry a resume. An engine that is unreachable for longer has lost the stream or drops
   * it soon.
   */
  private static final long RESUME_WINDOW_MILLIS = 10_000;

  private static final long RESUME_INTERVAL_MILLIS = 200;

  /**
   * Time without events after which the stream is resumed, since the connection may have stalled.
   */
  private static final long STALL_MILLIS = 15_000;

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAXIMUM_EVENT_BYTES = 64 * 1024;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final String NULL_FINISH_REASON = "\"finish_reason\":null";

  private final Vertx vertx;
  private final Clock clock;
  private final HttpClient client;
  private final BackendServer server;
  private final GenerationId generation;
  private final Sink sink;
  private final TokenSequencer sequencer;
  private @Nullable HttpClientResponse attachedResponse;
  private @Nullable RecordParser eventParser;
  private @Nullable String finishChunk;

  /** A primitive, because an object for each token would add to garbage collection. */
  private long resumeDeadlineMillis;

  private long attachmentNumber;
  private long stallTimer = -1;
  private boolean ended;

  /**
   * Creates a relay that is not attached to the engine yet.
   *
   * @param vertx Vert.x instance, for timers
   * @param clock source of the current time
   * @param client HTTP client of this event loop
   * @param server engine that runs the generation
   * @param generation id of the generation
   * @param nextIndex index of the first token that the sink has not received
   * @param sink receiver of the tokens and of the end
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
   * @param response response whose body was not read yet; its headers are cleared
   */
  public void attach(HttpClientResponse response) {
    long expectedAttachment = ++attachmentNumber;
    attachedResponse = response;
    // The headers were evaluated before; without clearing they would stay in memory for the whole
    // stream.
    response.headers().clear();
    RecordParser parser = RecordParser.newDelimited("\n\n", response);
    eventParser = parser;
    parser.maxRecordSize(MAXIMUM_EVENT_BYTES);
    parser.exceptionHandler(
        cause -> handleBroken(expectedAttachment, String.valueOf(cause.getMessage())));
    parser.endHandler(
        ignored ->
            handleBroken(expectedAttachment, "the engine closed the stream before its end event"));
    parser.handler(block -> handleEvent(expectedAttachment, block.toString()));
    scheduleStallCheck(expectedAttachment);
  }

  /**
   * Resumes the stream on a new connection, from the first token that the sink has not received.
   */
  public void resume() {
    if (ended) {
      return;
    }
    closeAttachment();
    long expectedAttachment = attachmentNumber;
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
        .onSuccess(response -> handleResumeResponse(expectedAttachment, response))
        .onFailure(cause -> retryResume(expectedAttachment, String.valueOf(cause.getMessage())));
  }

  private void handleResumeResponse(long expectedAttachment, HttpClientResponse response) {
    if (ended || expectedAttachment != attachmentNumber) {
      closeConnection(response);
      return;
    }
    boolean isOtherRun =
        Headers.condition(response.headers())
            .map(condition -> !condition.incarnation().equals(generation.incarnation()))
            .orElse(false);
    if (response.statusCode() == STATUS_NOT_FOUND || isOtherRun) {
      closeConnection(response);
      reportLost("the engine no longer has the stream");
    } else if (response.statusCode() != STATUS_OK || isResponseOfOtherStream(response)) {
      closeConnection(response);
      retryResume(
          expectedAttachment,
          "the engine answered the resume request with status " + response.statusCode());
    } else {
      attach(response);
    }
  }

  /** Detects a response for another stream, from an engine or proxy that mixes up responses. */
  private boolean isResponseOfOtherStream(HttpClientResponse response) {
    return Optional.ofNullable(response.getHeader(Headers.STREAM))
        .map(stream -> !stream.equals(generation.stream()))
        .orElse(false);
  }

  private void retryResume(long expectedAttachment, String reason) {
    if (ended || expectedAttachment != attachmentNumber) {
      return;
    }
    if (clock.millis() > resumeDeadlineMillis) {
      reportLost("could not resume the stream at the engine within 10 s: " + reason);
      return;
    }
    vertx.setTimer(
        RESUME_INTERVAL_MILLIS,
        timer -> {
          if (expectedAttachment == attachmentNumber) {
            resume();
          }
        });
  }

  private void handleEvent(long expectedAttachment, String block) {
    if (ended || expectedAttachment != attachmentNumber) {
      return;
    }
    resumeDeadlineMillis = clock.millis() + RESUME_WINDOW_MILLIS;
    ServerSentEvent event;
    try {
      event = ServerSentEvent.parse(block);
    } catch (NumberFormatException e) {
      handleBroken(expectedAttachment, "the engine sent an event whose id is not a token index");
      return;
    }
    if (event.isDone()) {
      handleEndEvent();
    } else {
      handleChunk(event);
    }
  }

  private void handleChunk(ServerSentEvent event) {
    boolean isLast = !event.data().contains(NULL_FINISH_REASON) && hasFinishReason(event.data());
    if (event.index().isPresent() && !(isLast && isEmptyChunk(event.data()))) {
      handleToken(event);
    }
    if (isLast) {
      finishChunk = event.data();
    }
  }

  private void handleToken(ServerSentEvent event) {
    long index = event.index().getAsLong();
    switch (sequencer.accept(index)) {
      case DELIVER -> {
        sink.onToken(index, event.data());
        if (sink.isFull() && eventParser != null) {
          // The parser resumes the response whenever it needs more bytes, so the parser is paused
          // instead of the response.
          eventParser.pause();
        }
      }
      case RESUME -> resume();
      default -> {
        // The sink has received this token before.
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

  /**
   * Handles the end event. The generation is complete only if a finish reason and all tokens that
   * the engine counted have arrived; otherwise the stream is resumed.
   */
  private void handleEndEvent() {
    if (finishChunk == null || declaredTokens(finishChunk) > sequencer.nextIndex()) {
      resume();
      return;
    }
    ended = true;
    cancelStallTimer();
    sink.onCompleted(finishChunk, sequencer.nextIndex());
  }

  private static long declaredTokens(String data) {
    JsonObject usage = new JsonObject(data).getJsonObject("usage", new JsonObject());
    return usage.getLong("completion_tokens", -1L);
  }

  private void handleBroken(long expectedAttachment, String reason) {
    if (!ended && expectedAttachment == attachmentNumber) {
      attachmentNumber++;
      attachedResponse = null;
      eventParser = null;
      retryResume(attachmentNumber, reason);
    }
  }

  private void reportLost(String detail) {
    ended = true;
    closeAttachment();
    sink.onLost(ResultCode.STREAM_LOST, detail);
  }

  /** Continues reading after the sink was full. */
  public void continueReading() {
    if (eventParser != null && !ended) {
      eventParser.resume();
    }
  }

  /** Disconnects from the engine, which keeps the generation for its resume window. */
  public void detach() {
    ended = true;
    closeAttachment();
  }

  /** Disconnects from the engine and asks it to cancel the generation. */
  public void cancel() {
    detach();
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
   * Returns the number of tokens that the sink has received.
   *
   * @return index of the next token
   */
  public long nextIndex() {
    return sequencer.nextIndex();
  }

  private void closeAttachment() {
    attachmentNumber++;
    cancelStallTimer();
    HttpClientResponse response = attachedResponse;
    attachedResponse = null;
    eventParser = null;
    if (response != null) {
      closeConnection(response);
    }
  }

  /** Closes the connection of a response, so that its unread bytes cannot reach another request. */
  private static void closeConnection(HttpClientResponse response) {
    response.request().reset();
  }

  private void scheduleStallCheck(long expectedAttachment) {
    cancelStallTimer();
    long previousDeadlineMillis = resumeDeadlineMillis;
    stallTimer =
        vertx.setTimer(
            STALL_MILLIS,
            timer -> {
              if (ended || expectedAttachment != attachmentNumber) {
                return;
              }
              if (previousDeadlineMillis == resumeDeadlineMillis && !sink.isFull()) {
                resume();
              } else {
                scheduleStallCheck(expectedAttachment);
              }
            });
  }

  private void cancelStallTimer() {
    vertx.cancelTimer(stallTimer);
  }
}
