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
   * Returns the memory that the run is expected to need at its end.
   *
   * @return tokens
   */
  public int expectedTokens() {
    int output = expectedOutputTokens.orElse(maximumOutputTokens);
    return promptTokens + Math.min(output, maximumOutputTokens);
  }
}
