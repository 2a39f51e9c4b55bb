package org.cactusseam.edge.caller;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.cactusseam.edge.backend.Headers;
import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.Refusal;

/**
 * Collects the tokens of a generation and writes them as one JSON object, for callers that do not
 * ask for a stream.
 */
final class CollectedResponse implements CallerResponse {

  private final HttpServerResponse response;
  private final byte[] clusterKey;
  private final StringBuilder text = new StringBuilder();

  CollectedResponse(HttpServerResponse response, byte[] clusterKey) {
    this.response = response;
    this.clusterKey = clusterKey;
  }

  @Override
  public void writeToken(GenerationId generation, long index, String data) {
    text.append(CompletionChunks.text(new JsonObject(data)));
  }

  @Override
  public void complete(GenerationId generation, String finish, long tokens) {
    JsonObject chunk = new JsonObject(finish);
    JsonObject choice = chunk.getJsonArray("choices", new JsonArray()).getJsonObject(0).copy();
    boolean isChat = choice.remove("delta") != null;
    if (isChat) {
      choice.put(
          "message", new JsonObject().put("role", "assistant").put("content", text.toString()));
      chunk.put("object", "chat.completion");
    } else {
      choice.put("text", text.toString());
    }
    chunk.put("choices", new JsonArray().add(choice));
    response.putHeader("Content-Type", "application/json");
    response.putHeader(Headers.GENERATION, generation.encode(clusterKey));
    response.end(chunk.encode());
  }

  @Override
  public void refuse(Refusal refusal) {
    RefusalWriter.write(response, refusal);
  }

  @Override
  public boolean isFull() {
    return false;
  }

  @Override
  public void onDrain(Runnable action) {
    // A collected response never reports a full queue: the context length of the engine bounds it.
  }

  @Override
  public boolean handOver() {
    return false;
  }
}
