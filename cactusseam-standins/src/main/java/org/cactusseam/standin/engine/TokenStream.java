package org.cactusseam.standin.engine;

import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;
import java.util.OptionalInt;
import org.cactusseam.standin.Json;

/**
 * A stream of tokens and the connection that receives it. At most one connection is attached; the
 * last one replaces the older one.
 */
final class TokenStream {

  private final CompletionRequest request;
  private int produced;
  private Optional<String> finish = Optional.empty();
  private Optional<Attachment> attachment = Optional.empty();
  private boolean tokenDropped;

  /** A connection with the index of the token that it receives next. */
  private static final class Attachment {
    final HttpServerResponse response;
    final boolean events;
    int next;
    boolean finishSent;

    Attachment(HttpServerResponse response, boolean events, int next) {
      this.response = response;
      this.events = events;
      this.next = next;
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

  /** Replaces the connection. The older one is closed without an end of its answer. */
  void attach(HttpServerResponse response, boolean events, int from) {
    attachment.ifPresent(older -> older.response.reset());
    attachment = Optional.of(new Attachment(response, events, from));
  }

  /** Forgets a connection. Returns whether it was the attached one. */
  boolean detach(HttpServerResponse response) {
    boolean attached = attachment.filter(current -> current.response == response).isPresent();
    if (attached) {
      attachment = Optional.empty();
    }
    return attached;
  }

  /**
   * Sends what the connection can take.
   *
   * @param dropIndex token whose event is lost once; empty for none
   * @return whether the answer has ended
   */
  boolean advance(OptionalInt dropIndex) {
    if (attachment.isEmpty()) {
      return false;
    }
    Attachment current = attachment.get();
    if (current.response.closed()) {
      return false;
    }
    if (!current.events) {
      return endWhole(current);
    }
    while (current.next < produced && !current.response.writeQueueFull()) {
      sendToken(current, dropIndex);
    }
    if (current.next < produced) {
      return false;
    }
    return endEvents(current);
  }

  private void sendToken(Attachment current, OptionalInt dropIndex) {
    int index = current.next++;
    if (!tokenDropped && dropIndex.isPresent() && dropIndex.getAsInt() == index) {
      tokenDropped = true;
      return;
    }
    Optional<String> reason = index == produced - 1 ? finish : Optional.empty();
    current.finishSent = reason.isPresent();
    current.response.write(ChunkBuilder.tokenEvent(this, index, reason));
  }

  private boolean endEvents(Attachment current) {
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

  private boolean endWhole(Attachment current) {
    if (finish.isEmpty()) {
      return false;
    }
    attachment = Optional.empty();
    current.response.end(Json.write(ChunkBuilder.whole(this, finish.get())));
    return true;
  }
}
