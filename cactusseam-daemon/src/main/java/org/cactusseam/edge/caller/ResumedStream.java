package org.cactusseam.edge.caller;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.Optional;
import org.cactusseam.edge.backend.GenerationRelay;
import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;

/**
 * Rest of a generation that the caller resumes at this daemon. It needs no permit, because the
 * engine runs the generation already.
 */
final class ResumedStream implements GenerationRelay.Sink {

  private final CallerServices services;
  private final RequestInfo info;
  private final GenerationId generation;
  private final StreamedResponse answer;
  private final SlowReaderGuard slowReader;
  private final ActiveRequests.Entry entry;
  private final GenerationRelay relay;
  private final Context loop = Vertx.currentContext();
  private boolean ended;

  ResumedStream(
      CallerServices services,
      HttpClient client,
      RequestInfo info,
      GenerationId generation,
      BackendServer server,
      long nextIndex,
      StreamedResponse answer,
      SlowReaderGuard slowReader) {
    this.services = services;
    this.info = info;
    this.generation = generation;
    this.answer = answer;
    this.slowReader = slowReader;
    this.entry = services.active().add(info, new Leaver());
    this.entry.sentTo(server.name().value());
    this.relay =
        new GenerationRelay(
            services.vertx(), services.clock(), client, server, generation, nextIndex, this);
  }

  void start() {
    answer.onDrain(
        () -> {
          slowReader.drained();
          relay.proceed();
        });
    relay.resume();
  }

  @Override
  public void token(long index, String data) {
    answer.token(generation, index, data);
    entry.streaming(index + 1);
  }

  @Override
  public void completed(String finish, long tokens) {
    finish();
    answer.complete(generation, finish, tokens);
  }

  @Override
  public void lost(ResultCode code, String detail) {
    finish();
    answer.refuse(Refusal.permanent(ResultCode.UNKNOWN_GENERATION, detail));
  }

  @Override
  public boolean isFull() {
    boolean full = answer.isFull();
    if (full) {
      slowReader.full();
    }
    return full;
  }

  void callerLeft() {
    if (!ended) {
      finish();
      relay.leave();
    }
  }

  private void finish() {
    ended = true;
    slowReader.drained();
    services.active().remove(info);
  }

  /**
   * Position in a generation as callers state it in {@code Last-Event-ID}.
   *
   * @param generation generation
   * @param nextIndex index of the first token that the caller lacks
   */
  record Position(String generation, long nextIndex) {

    static Optional<Position> parse(String generation, Optional<String> lastEventId) {
      if (lastEventId.isEmpty()) {
        return Optional.of(new Position(generation, 0));
      }
      String text = lastEventId.get();
      int colon = text.lastIndexOf(':');
      if (colon < 0 || !text.substring(0, colon).equals(generation)) {
        return Optional.empty();
      }
      try {
        long index = Long.parseLong(text.substring(colon + 1));
        return index < -1 ? Optional.empty() : Optional.of(new Position(generation, index + 1));
      } catch (NumberFormatException e) {
        return Optional.empty();
      }
    }
  }

  private final class Leaver implements ActiveRequests.Handle {
    @Override
    public boolean isResumable() {
      return true;
    }

    @Override
    public void handOver() {
      onLoop(
          () -> {
            if (!ended && answer.handOver()) {
              callerLeft();
            }
          });
    }

    @Override
    public void end(Refusal refusal) {
      onLoop(
          () -> {
            finish();
            relay.leave();
            answer.refuse(refusal);
          });
    }

    private void onLoop(Runnable action) {
      loop.runOnContext(ignored -> action.run());
    }
  }
}
