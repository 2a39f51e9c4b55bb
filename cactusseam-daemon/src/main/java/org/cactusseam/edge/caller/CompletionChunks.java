package org.cactusseam.edge.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Reads completion chunks of engines. */
final class CompletionChunks {

  private CompletionChunks() {}

  /**
   * Tells whether a chunk carries text of the answer.
   *
   * @param data completion chunk
   * @return true if it does
   */
  static boolean carriesToken(String data) {
    return !text(new JsonObject(data)).isEmpty();
  }

  /**
   * Returns the text of a chunk, of either kind of completion.
   *
   * @param chunk completion chunk
   * @return text, empty if there is none
   */
  static String text(JsonObject chunk) {
    JsonArray choices = chunk.getJsonArray("choices", new JsonArray());
    if (choices.isEmpty()) {
      return "";
    }
    JsonObject choice = choices.getJsonObject(0);
    JsonObject delta = choice.getJsonObject("delta");
    return delta == null ? choice.getString("text", "") : delta.getString("content", "");
  }
}
