package org.cactusseam.edge.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.cactusseam.logic.admission.PromptBlocks;

/**
 * Properties of a prompt that admission uses: its estimated length and the hashes of its leading
 * blocks. The hashes identify engines that hold the prefix in their prefix cache.
 *
 * @param tokens estimated length, in tokens
 * @param prefixHashes hashes of the prefixes that end at block boundaries, shortest first
 */
record PromptProfile(int tokens, List<Long> prefixHashes) {

  /**
   * Maximum number of blocks that are hashed, which bounds the size of permit requests to shard
   * owners. Covers a common prefix of 512 tokens.
   */
  private static final int MAXIMUM_BLOCKS = 32;

  static PromptProfile of(JsonObject body) {
    String text = extractText(body);
    return new PromptProfile(
        Math.max(1, Math.ceilDiv(text.length(), PromptBlocks.CHARACTERS_PER_TOKEN)),
        PromptBlocks.hashes(
            text, PromptBlocks.BLOCK_TOKENS * PromptBlocks.CHARACTERS_PER_TOKEN, MAXIMUM_BLOCKS));
  }

  private static String extractText(JsonObject body) {
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
