package org.cactusseam.model.gateway;

import java.util.OptionalInt;

/**
 * What a model request asks of an engine.
 *
 * @param promptTokens tokens of the prompt
 * @param maximumOutputTokens most tokens of output
 * @param expectedOutputTokens estimate of the caller, often far off
 */
public record GenerationDemand(
    int promptTokens, int maximumOutputTokens, OptionalInt expectedOutputTokens) {

  /**
   * Mean output for one token of the estimate. The estimate is right at the median, and lengths are
   * skewed: the mean of the sheets' distribution is 1.4 times its median, cut at the maximum.
   */
  private static final double MEAN_FOR_MEDIAN = 1.3;

  /**
   * Returns the memory that the run is expected to need at its end.
   *
   * @return tokens
   */
  public int expectedTokens() {
    int mean =
        expectedOutputTokens.isPresent()
            ? (int) (expectedOutputTokens.getAsInt() * MEAN_FOR_MEDIAN)
            : maximumOutputTokens;
    return promptTokens + Math.min(mean, maximumOutputTokens);
  }
}
