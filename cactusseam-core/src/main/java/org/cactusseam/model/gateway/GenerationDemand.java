package org.cactusseam.model.gateway;

import java.util.OptionalInt;

/**
 * Prompt and output lengths of a model request, as far as they are known before it runs.
 *
 * @param promptTokens length of the prompt
 * @param maximumOutputTokens maximum length of the output
 * @param expectedOutputTokens estimate of the output length by the caller, often far off; empty if
 *     it gave none
 */
public record GenerationDemand(
    int promptTokens, int maximumOutputTokens, OptionalInt expectedOutputTokens) {

  /**
   * Ratio of the mean output length to the estimate. The estimate matches the median of a skewed
   * distribution, whose mean is 1.4 times its median before lengths are cut off at the maximum.
   */
  private static final double MEAN_TO_MEDIAN_RATIO = 1.3;

  /**
   * Returns the memory that the run is expected to need at its end, in tokens.
   *
   * @return expected number of prompt and output tokens
   */
  public int expectedTokens() {
    int expectedOutput =
        expectedOutputTokens.isPresent()
            ? (int) (expectedOutputTokens.getAsInt() * MEAN_TO_MEDIAN_RATIO)
            : maximumOutputTokens;
    return promptTokens + Math.min(expectedOutput, maximumOutputTokens);
  }
}
