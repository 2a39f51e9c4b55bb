package org.cactusseam.logic.admission;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Computes hashes of the leading blocks of a prompt. Engines identify the blocks of their prefix
 * caches by the same hashes in cache events, so the owner of a shard can estimate how much of a
 * prompt each engine has cached.
 */
public final class PromptBlocks {

  /** Typical number of characters per token in European languages. */
  public static final int CHARACTERS_PER_TOKEN = 4;

  /** Number of tokens in a block. */
  public static final int BLOCK_TOKENS = 16;

  private static final HashFunction HASH = Hashing.sipHash24();

  private PromptBlocks() {}

  /**
   * Hashes each full block together with the hash of its predecessor, so that each hash identifies
   * the whole prefix up to the end of its block. A partial block at the end is ignored.
   *
   * @param prompt text of the prompt
   * @param charactersPerBlock length of a block, in characters
   * @param maximumBlocks maximum number of hashes
   * @return hashes, the shortest prefix first
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
