package org.cactusseam.logic.replay;

import java.time.Duration;

/**
 * Size and speed of a simulated engine.
 *
 * @param batchLimit sequences in one batch
 * @param prefillTokensPerStep prompt tokens that one step may process; longer prompts take several
 *     steps and do not stall the decoding of others
 * @param memoryTokens tokens, prompt and generated, that the running sequences may hold
 * @param blockTokens prompt tokens in one block of the prefix cache
 * @param cacheBlocks blocks that the prefix cache holds
 * @param stepTimes cost of a step
 * @param coldStart behaviour while cold
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

  /** Checks the ranges. */
  public EngineSettings {
    if (batchLimit < 1 || prefillTokensPerStep < 1 || memoryTokens < 2 || blockTokens < 1) {
      throw new IllegalArgumentException("batch, prefill, memory and block size must be positive");
    }
    if (cacheBlocks < 0 || restartDelay.isNegative()) {
      throw new IllegalArgumentException("cache size and restart delay must not be negative");
    }
  }
}
