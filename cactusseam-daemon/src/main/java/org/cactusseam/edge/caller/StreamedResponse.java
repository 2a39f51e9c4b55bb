package org.cactusseam.edge.caller;

import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import org.cactusseam.edge.backend.Headers;
import org.cactusseam.edge.backend.ServerSentEvent;
import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;

/**
 * Answer as server-sent events. Nothing is written before the first token, so that a request that
 * was refused by one backend server can still run on another.
 */
final class StreamedResponse implements CallerResponse {

  private final HttpServerResponse response;
  private final byte[] clusterKey;
  private String encoded = "";
  private volatile boolean begun;

  StreamedResponse(HttpServerResponse response, byte[] clusterKey) {
    this.response = response;
    this.clusterKey = clusterKey;
  }

  @Override
  public void token(GenerationId generation, long index, String data) {
    begin(generation);
    response.write("id: " + encoded + ":" + index + "\ndata: " + data + "\n\n");
  }

  @Override
  public void complete(GenerationId generation, String finish, long tokens) {
    begin(generation);
    String last = "id: " + encoded + ":" + (tokens - 1) + "\ndata: " + finish + "\n\n";
    // The engine may have marked the last token itself as the last chunk; it was written by
    // token().
    String end = "data: " + ServerSentEvent.DONE + "\n\n";
    response.end(CompletionChunks.carriesToken(finish) ? end : last + end);
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
    refuse(new Refusal(ResultCode.RESUME_ELSEWHERE, "resume at another VM", Duration.ofMillis(1)));
    return true;
  }

  /**
   * Tells whether the caller has got a part of the stream; for all threads.
   *
   * @return true after the first token
   */
  boolean hasBegun() {
    return begun;
  }

  private void begin(GenerationId generation) {
    if (response.headWritten()) {
      return;
    }
    begun = true;
    encoded = generation.encode(clusterKey);
    response.setChunked(true);
    response.putHeader("Content-Type", "text/event-stream");
    response.putHeader("Cache-Control", "no-store");
    response.putHeader(Headers.GENERATION, encoded);
  }
}
