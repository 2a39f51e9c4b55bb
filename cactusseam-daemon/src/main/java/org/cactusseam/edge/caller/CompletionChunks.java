package org.cactusseam.edge.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Extracts text from the completion chunks of engines. */
final class CompletionChunks {

  private CompletionChunks() {}

  /**
   * Tells whether a chunk carries text of the completion.
   *
   * @param data completion chunk, as JSON
   * @return true if its text is not empty
   */
  static boolean hasText(String data) {
    return !text(new JsonObject(data)).isEmpty();
  }

  /**
   * Returns the text of a chunk of a text completion or a chat completion.
   *
   * @param chunk parsed completion chunk
   * @return its text, empty if it has none
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
