package org.cactusseam.standin.engine;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.cactusseam.logic.replay.ColdStart;
import org.cactusseam.logic.replay.EngineSettings;
import org.cactusseam.logic.replay.StepTimes;
import org.cactusseam.standin.OptionDescription;

/** Settings of a simulated engine that do not change at run time. */
public record EngineOptions(
    @OptionDescription("sequences in one batch") int batchLimit,
    @OptionDescription("requests that may wait for the batch; more are refused") int waitingLimit,
    @OptionDescription("prompt tokens that one step processes") int prefillTokensPerStep,
    @OptionDescription("memory for prompts and outputs, in tokens") long memoryTokens,
    @OptionDescription("prompt tokens in one block of the prefix cache") int blockTokens,
    @OptionDescription("blocks that the prefix cache holds") int cacheBlocks,
    @OptionDescription("time of a step, in microseconds") long stepUs,
    @OptionDescription("additional time of a step for each sequence, in microseconds")
        long stepPerSequenceUs,
    @OptionDescription("additional time of a step for each prompt token, in microseconds")
        long stepPerPrefillTokenUs,
    @OptionDescription("relative standard deviation of the step time") double stepJitter,
    @OptionDescription("length of the cold phase, in milliseconds; 0: no end by time") long coldMs,
    @OptionDescription("finished requests that end the cold phase; 0: no end by requests")
        int coldRequests,
    @OptionDescription("requests at once that a cold engine can handle; one more crashes it")
        int coldLimit,
    @OptionDescription("factor on the step time while cold") double coldSlowdown,
    @OptionDescription("time from a crash to the new incarnation, in milliseconds") long restartMs,
    @OptionDescription("time that a stream without connection is kept, in milliseconds")
        long resumeWindowMs,
    @OptionDescription("median of the output length, in tokens") int outputMedian,
    @OptionDescription("standard deviation of the logarithm of the output length")
        double outputSpread,
    @OptionDescription(
            "names of the loaded models, separated by commas; empty: any model is served")
        String models,
    @OptionDescription("role of the engine") String role,
    @OptionDescription("time from an order to its effect, in milliseconds") long orderMs,
    @OptionDescription("seed of the step times") long seed) {

  /** An engine of moderate speed that starts warm. */
  public static final EngineOptions DEFAULTS =
      new EngineOptions(
          32, 1000, 2048, 100_000, 16, 2000, 20_000, 200, 20, 0.05, 0, 0, 2, 3, 2000, 30_000, 120,
          1.0, "", "serve", 200, 1);

  /**
   * Returns the settings of the engine model.
   *
   * @return the settings
   */
  EngineSettings modelSettings() {
    return new EngineSettings(
        batchLimit,
        prefillTokensPerStep,
        memoryTokens,
        blockTokens,
        cacheBlocks,
        new StepTimes(
            micros(stepUs), micros(stepPerSequenceUs), micros(stepPerPrefillTokenUs), stepJitter),
        new ColdStart(Duration.ofMillis(coldMs), coldRequests, coldLimit, coldSlowdown),
        Duration.ofMillis(restartMs));
  }

  /**
   * Returns the names of the loaded models.
   *
   * @return the names; empty if any model is served
   */
  List<String> modelNames() {
    return Arrays.stream(models.split(",", -1)).filter(name -> !name.isBlank()).toList();
  }

  private static Duration micros(long micros) {
    return Duration.ofNanos(micros * 1000);
  }
}
