package org.cactusseam.standin.engine;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The text that simulated engines generate. It depends only on the prompt and the index, so that a
 * test can verify a whole answer whichever engine produced it.
 */
public final class TokenText {

  private static final HashFunction HASH = Hashing.murmur3_32_fixed();

  private TokenText() {}

  /**
   * Returns the text of one token.
   *
   * @param prompt prompt, for chats as {@link CompletionRequest} joins it
   * @param index position in the output, from 0
   * @return a short word with a space before it
   */
  public static String token(String prompt, int index) {
    int hash =
        HASH.newHasher().putString(prompt, StandardCharsets.UTF_8).putInt(index).hash().asInt();
    return " " + Integer.toUnsignedString(hash, Character.MAX_RADIX);
  }

  /**
   * Returns the text of a whole output.
   *
   * @param prompt prompt
   * @param tokens length of the output
   * @return the text
   */
  public static String whole(String prompt, int tokens) {
    return IntStream.range(0, tokens)
        .mapToObj(index -> token(prompt, index))
        .collect(Collectors.joining());
  }
}
