package org.cactusseam.standin.engine;

import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;
import java.util.OptionalInt;
import org.cactusseam.standin.Json;

/**
 * Generated tokens of one request and the connection that receives them. At most one connection is
 * attached; a new one replaces the previous one.
 */
final class TokenStream {

  private final CompletionRequest request;
  private int produced;
  private Optional<String> finish = Optional.empty();
  private Optional<Attachment> attachment = Optional.empty();
  private boolean tokenDropped;

  /** An attached connection and the index of the token to send next. */
  private static final class Attachment {
    final HttpServerResponse response;
    final boolean events;
    int nextIndex;
    boolean finishSent;

    Attachment(HttpServerResponse response, boolean events, int nextIndex) {
      this.response = response;
      this.events = events;
      this.nextIndex = nextIndex;
    }
  }

  TokenStream(CompletionRequest request) {
    this.request = request;
  }

  CompletionRequest request() {
    return request;
  }

  int produced() {
    return produced;
  }

  boolean isFinished() {
    return finish.isPresent();
  }

  boolean isAttached() {
    return attachment.isPresent();
  }

  void addToken() {
    produced++;
  }

  void finish(String reason) {
    finish = Optional.of(reason);
  }

  /**
   * Attaches a connection. A connection that was attached before is reset, so that its response
   * stays incomplete.
   */
  void attach(HttpServerResponse response, boolean events, int from) {
    attachment.ifPresent(previous -> previous.response.reset());
    attachment = Optional.of(new Attachment(response, events, from));
  }

  /** Detaches a connection. Returns false if it is not the attached one. */
  boolean detach(HttpServerResponse response) {
    boolean attached = attachment.filter(current -> current.response == response).isPresent();
    if (attached) {
      attachment = Optional.empty();
    }
    return attached;
  }

  /**
   * Sends pending tokens until the write queue of the connection is full, and ends the response
   * after the last one.
   *
   * @param droppedTokenIndex index of a token whose event is omitted once per stream; empty for
   *     none
   * @return whether the response has ended
   */
  boolean advance(OptionalInt droppedTokenIndex) {
    if (attachment.isEmpty()) {
      return false;
    }
    Attachment current = attachment.get();
    if (current.response.closed()) {
      return false;
    }
    if (!current.events) {
      return endCompleteResponse(current);
    }
    while (current.nextIndex < produced && !current.response.writeQueueFull()) {
      sendToken(current, droppedTokenIndex);
    }
    if (current.nextIndex < produced) {
      return false;
    }
    return endEventStream(current);
  }

  private void sendToken(Attachment current, OptionalInt droppedTokenIndex) {
    int index = current.nextIndex++;
    if (!tokenDropped && droppedTokenIndex.isPresent() && droppedTokenIndex.getAsInt() == index) {
      tokenDropped = true;
      return;
    }
    Optional<String> reason = index == produced - 1 ? finish : Optional.empty();
    current.finishSent = reason.isPresent();
    current.response.write(ChunkBuilder.tokenEvent(this, index, reason));
  }

  private boolean endEventStream(Attachment current) {
    if (finish.isEmpty()) {
      return false;
    }
    if (!current.finishSent) {
      current.response.write(ChunkBuilder.endEvent(this, finish.get()));
    }
    attachment = Optional.empty();
    current.response.end(ChunkBuilder.DONE);
    return true;
  }

  private boolean endCompleteResponse(Attachment current) {
    if (finish.isEmpty()) {
      return false;
    }
    attachment = Optional.empty();
    current.response.end(Json.write(ChunkBuilder.completeResponse(this, finish.get())));
    return true;
  }
}
