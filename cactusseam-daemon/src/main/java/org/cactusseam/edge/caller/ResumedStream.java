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
 * Relays the rest of a generation that the caller resumes at this daemon. No permit is needed,
 * because the engine is already running the generation.
 */
final class ResumedStream implements GenerationRelay.Sink {

  private final CallerServices services;
  private final RequestInfo info;
  private final GenerationId generation;
  private final StreamedResponse callerResponse;
  private final SlowReaderGuard slowReaderGuard;
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
      StreamedResponse callerResponse,
      SlowReaderGuard slowReaderGuard) {
    this.services = services;
    this.info = info;
    this.generation = generation;
    this.callerResponse = callerResponse;
    this.slowReaderGuard = slowReaderGuard;
    this.entry = services.active().add(info, new ShutdownHandle());
    this.entry.markSent(server.name().value());
    this.relay =
        new GenerationRelay(
            services.vertx(), services.clock(), client, server, generation, nextIndex, this);
  }

  void start() {
    callerResponse.onDrain(
        () -> {
          slowReaderGuard.cancelTimeout();
          relay.continueReading();
        });
    relay.resume();
  }

  @Override
  public void onToken(long index, String data) {
    callerResponse.writeToken(generation, index, data);
    entry.markStreaming(index + 1);
  }

  @Override
  public void onCompleted(String finish, long tokens) {
    markEnded();
    callerResponse.complete(generation, finish, tokens);
  }

  @Override
  public void onLost(ResultCode code, String detail) {
    markEnded();
    callerResponse.refuse(Refusal.permanent(ResultCode.UNKNOWN_GENERATION, detail));
  }

  @Override
  public boolean isFull() {
    boolean isFull = callerResponse.isFull();
    if (isFull) {
      slowReaderGuard.startTimeout();
    }
    return isFull;
  }

  void callerDisconnected() {
    if (!ended) {
      markEnded();
      relay.detach();
    }
  }

  private void markEnded() {
    ended = true;
    slowReaderGuard.cancelTimeout();
    services.active().remove(info);
  }

  /**
   * Position in a generation, as callers state it in {@code Last-Event-ID}.
   *
   * @param generation encoded id of the generation
   * @param nextIndex index of the first token that the caller has not received
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

  private final class ShutdownHandle implements ActiveRequests.Handle {
    @Override
    public boolean isResumable() {
      return true;
    }

    @Override
    public void handOver() {
      onLoop(
          () -> {
            if (!ended && callerResponse.handOver()) {
              callerDisconnected();
            }
          });
    }

    @Override
    public void end(Refusal refusal) {
      onLoop(
          () -> {
            // The stream may have ended between the order to end it and this callback.
            if (!ended) {
              markEnded();
              relay.detach();
              callerResponse.refuse(refusal);
            }
          });
    }

    private void onLoop(Runnable action) {
      loop.runOnContext(ignored -> action.run());
    }
  }
}
