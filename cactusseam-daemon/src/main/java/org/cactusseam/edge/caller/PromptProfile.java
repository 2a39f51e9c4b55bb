package org.cactusseam.edge.caller;

import com.google.common.hash.Hashing;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/**
 * What admission knows of a prompt: its estimated length and the hashes of its leading blocks,
 * which tell engines apart that have the prefix in their cache.
 *
 * @param tokens estimated length, in tokens
 * @param prefixHashes hashes, shortest prefix first
 */
record PromptProfile(int tokens, List<Long> prefixHashes) {

  /** Usual number of characters of a token in European languages. */
  private static final int CHARACTERS_PER_TOKEN = 4;

  private static final int BLOCK_CHARACTERS = 256;

  /** Bound on the size of messages to the owner of a shard. */
  private static final int MAXIMUM_BLOCKS = 16;

  static PromptProfile of(JsonObject body) {
    String text = text(body);
    List<Long> hashes = new ArrayList<>();
    int blocks = Math.min(MAXIMUM_BLOCKS, text.length() / BLOCK_CHARACTERS);
    for (int block = 1; block <= blocks; block++) {
      String prefix = text.substring(0, block * BLOCK_CHARACTERS);
      hashes.add(Hashing.murmur3_128().hashUnencodedChars(prefix).asLong());
    }
    return new PromptProfile(Math.max(1, text.length() / CHARACTERS_PER_TOKEN), hashes);
  }

  private static String text(JsonObject body) {
    if (body.getValue("prompt") instanceof String prompt) {
      return prompt;
    }
    StringBuilder joined = new StringBuilder();
    if (body.getValue("messages") instanceof JsonArray messages) {
      for (Object message : messages) {
        if (message instanceof JsonObject object) {
          joined.append(object.getString("role", "")).append('\n');
          joined.append(object.getValue("content", "")).append('\n');
        }
      }
    }
    return joined.toString();
  }
}
