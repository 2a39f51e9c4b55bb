package org.cactusseam.logic.admission;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Hashes of the leading blocks of a prompt. Engines name the blocks of their prefix caches by the
 * same hashes in cache events, so the owner of a shard can tell which engine holds how much of a
 * prompt.
 */
public final class PromptBlocks {

  /** Usual number of characters of a token in European languages. */
  public static final int CHARACTERS_PER_TOKEN = 4;

  /** Tokens of a block. */
  public static final int BLOCK_TOKENS = 16;

  private static final HashFunction HASH = Hashing.sipHash24();

  private PromptBlocks() {}

  /**
   * Hashes each full block together with the hash of its predecessor.
   *
   * @param prompt prompt
   * @param charactersPerBlock length of a block, in characters
   * @param maximumBlocks bound on the number of hashes
   * @return hashes, shortest prefix first
   */
  public static List<Long> hashes(String prompt, int charactersPerBlock, int maximumBlocks) {
    List<Long> blocks = new ArrayList<>();
    long previous = 0;
    int end = charactersPerBlock;
    while (end <= prompt.length() && blocks.size() < maximumBlocks) {
      previous =
          HASH.newHasher()
              .putLong(previous)
              .putString(prompt.substring(end - charactersPerBlock, end), StandardCharsets.UTF_8)
              .hash()
              .asLong();
      blocks.add(previous);
      end += charactersPerBlock;
    }
    return blocks;
  }
}
