package org.cactusseam.standin.engine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/** Draws output lengths from a log-normal distribution, the same one for the same prompt. */
final class OutputLength {

  private OutputLength() {}

  /** Returns the length in tokens that the output would have without a limit. */
  static int of(String prompt, EngineOptions options) {
    long seed = Hashing.sipHash24().hashString(prompt, StandardCharsets.UTF_8).asLong();
    double exponent = options.outputSpread() * new SplittableRandom(seed).nextGaussian();
    return (int) Math.max(1, Math.round(options.outputMedian() * Math.exp(exponent)));
  }
}
