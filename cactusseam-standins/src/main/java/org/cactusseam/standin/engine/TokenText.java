package org.cactusseam.standin.engine;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Generates the text of simulated engines. A token depends only on the prompt and its index, so
 * that a test can verify a complete output no matter which engines produced it.
 */
public final class TokenText {

  private static final HashFunction HASH = Hashing.murmur3_32_fixed();

  private TokenText() {}

  /**
   * Returns the text of one token.
   *
   * @param prompt prompt; for chats, the messages as joined by {@link CompletionRequest}
   * @param index position in the output, from 0
   * @return token text that starts with a space
   */
  public static String token(String prompt, int index) {
    int hash =
        HASH.newHasher().putString(prompt, StandardCharsets.UTF_8).putInt(index).hash().asInt();
    return " " + Integer.toUnsignedString(hash, Character.MAX_RADIX);
  }

  /**
   * Returns the text of a complete output.
   *
   * @param prompt prompt, as for {@link #token}
   * @param tokens length of the output in tokens
   * @return concatenated text of all tokens
   */
  public static String fullOutput(String prompt, int tokens) {
    return IntStream.range(0, tokens)
        .mapToObj(index -> token(prompt, index))
        .collect(Collectors.joining());
  }
}
