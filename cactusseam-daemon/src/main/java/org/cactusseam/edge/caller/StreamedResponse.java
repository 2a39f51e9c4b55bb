package org.cactusseam.edge.caller;

import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import org.cactusseam.edge.backend.Headers;
import org.cactusseam.edge.backend.ServerSentEvent;
import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;

/**
 * Writes a response as server-sent events. Nothing is written before the first token, so that a
 * request that one backend server refused can still run on another.
 */
final class StreamedResponse implements CallerResponse {

  private final HttpServerResponse response;
  private final byte[] clusterKey;
  private String encodedGeneration = "";
  private volatile boolean begun;

  StreamedResponse(HttpServerResponse response, byte[] clusterKey) {
    this.response = response;
    this.clusterKey = clusterKey;
  }

  @Override
  public void writeToken(GenerationId generation, long index, String data) {
    writeHeadOnce(generation);
    response.write("id: " + encodedGeneration + ":" + index + "\ndata: " + data + "\n\n");
  }

  @Override
  public void complete(GenerationId generation, String finish, long tokens) {
    writeHeadOnce(generation);
    String lastEvent =
        "id: " + encodedGeneration + ":" + (tokens - 1) + "\ndata: " + finish + "\n\n";
    // If the engine put the finish reason into the chunk of the last token, writeToken() has
    // already written that chunk.
    String endEvent = "data: " + ServerSentEvent.DONE + "\n\n";
    response.end(CompletionChunks.hasText(finish) ? endEvent : lastEvent + endEvent);
  }

  @Override
  public void refuse(Refusal refusal) {
    RefusalWriter.write(response, refusal);
  }

  @Override
  public boolean isFull() {
    return response.writeQueueFull();
  }

  @Override
  public void onDrain(Runnable action) {
    response.drainHandler(ignored -> action.run());
  }

  @Override
  public boolean handOver() {
    if (!response.headWritten()) {
      return false;
    }
    refuse(
        new Refusal(
            ResultCode.RESUME_ELSEWHERE,
            "this VM is shutting down; resume the stream at another VM",
            Duration.ofMillis(1)));
    return true;
  }

  /**
   * Tells whether a part of the stream was written. May be called from any thread.
   *
   * @return true after the first token
   */
  boolean hasBegun() {
    return begun;
  }

  private void writeHeadOnce(GenerationId generation) {
    if (response.headWritten()) {
      return;
    }
    begun = true;
    encodedGeneration = generation.encode(clusterKey);
    response.setChunked(true);
    response.putHeader("Content-Type", "text/event-stream");
    response.putHeader("Cache-Control", "no-store");
    response.putHeader(Headers.GENERATION, encodedGeneration);
  }
}
