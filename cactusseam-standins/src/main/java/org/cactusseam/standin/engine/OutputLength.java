package org.cactusseam.standin.engine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * Draws output lengths from a log-normal distribution that is seeded by the prompt, so that equal
 * prompts have equal lengths.
 */
final class OutputLength {

  private OutputLength() {}

  /** Returns the output length in tokens, before {@code max_tokens} is applied; at least 1. */
  static int of(String prompt, EngineOptions options) {
    long seed = Hashing.sipHash24().hashString(prompt, StandardCharsets.UTF_8).asLong();
    double exponent = options.outputSpread() * new SplittableRandom(seed).nextGaussian();
    return (int) Math.max(1, Math.round(options.outputMedian() * Math.exp(exponent)));
  }
}
