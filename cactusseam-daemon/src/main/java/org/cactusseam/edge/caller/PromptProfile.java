package org.cactusseam.edge.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.cactusseam.logic.admission.PromptBlocks;

/**
 * What admission knows of a prompt: its estimated length and the hashes of its leading blocks,
 * which tell engines apart that have the prefix in their cache.
 *
 * @param tokens estimated length, in tokens
 * @param prefixHashes hashes, shortest prefix first
 */
record PromptProfile(int tokens, List<Long> prefixHashes) {

  /**
   * Bound on the size of messages to the owner of a shard; covers 512 tokens of a common prefix.
   */
  private static final int MAXIMUM_BLOCKS = 32;

  static PromptProfile of(JsonObject body) {
    String text = text(body);
    return new PromptProfile(
        Math.max(1, Math.ceilDiv(text.length(), PromptBlocks.CHARACTERS_PER_TOKEN)),
        PromptBlocks.hashes(
            text, PromptBlocks.BLOCK_TOKENS * PromptBlocks.CHARACTERS_PER_TOKEN, MAXIMUM_BLOCKS));
  }

  private static String text(JsonObject body) {
    if (body.getValue("prompt") instanceof String prompt) {
      return prompt;
    }
    List<String> lines = new ArrayList<>();
    if (body.getValue("messages") instanceof JsonArray messages) {
      for (Object message : messages) {
        if (message instanceof JsonObject object) {
          lines.add(object.getValue("role", "") + ": " + object.getValue("content", ""));
        }
      }
    }
    return String.join("\n", lines);
  }
}
