package org.cactusseam.logic.replay;

import java.time.Duration;

/**
 * Capacity and speed of a simulated engine.
 *
 * @param batchLimit maximum number of sequences in a batch
 * @param prefillTokensPerStep maximum number of prompt tokens prefilled in one step; longer prompts
 *     take several steps, so that they do not stall the decoding of other sequences
 * @param memoryTokens KV-cache capacity: maximum number of prompt and output tokens of the batch
 * @param blockTokens number of prompt tokens in a block of the prefix cache
 * @param cacheBlocks capacity of the prefix cache in blocks; 0 disables it
 * @param stepTimes duration of a step
 * @param coldStart behaviour in the cold phase
 * @param restartDelay time from a crash until the engine accepts requests again
 */
public record EngineSettings(
    int batchLimit,
    int prefillTokensPerStep,
    long memoryTokens,
    int blockTokens,
    int cacheBlocks,
    StepTimes stepTimes,
    ColdStart coldStart,
    Duration restartDelay) {

  /** Validates the ranges of the components. */
  public EngineSettings {
    if (batchLimit < 1 || prefillTokensPerStep < 1 || memoryTokens < 2 || blockTokens < 1) {
      throw new IllegalArgumentException(
          "batch limit, prefill and block tokens must be >= 1, memory tokens >= 2");
    }
    if (cacheBlocks < 0 || restartDelay.isNegative()) {
      throw new IllegalArgumentException("cache blocks and restart delay must not be negative");
    }
  }
}
