package org.cactusseam.standin.engine;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.cactusseam.logic.replay.ColdStart;
import org.cactusseam.logic.replay.EngineSettings;
import org.cactusseam.logic.replay.StepTimes;
import org.cactusseam.standin.Description;

/** Settings of a simulated engine that do not change at run time. */
public record EngineOptions(
    @Description("sequences in one batch") int batchLimit,
    @Description("requests that may wait for the batch; more are refused") int waitingLimit,
    @Description("prompt tokens that one step processes") int prefillTokensPerStep,
    @Description("memory for prompts and outputs, in tokens") long memoryTokens,
    @Description("prompt tokens in one block of the prefix cache") int blockTokens,
    @Description("blocks that the prefix cache holds") int cacheBlocks,
    @Description("time of a step, in microseconds") long stepUs,
    @Description("additional time of a step for each sequence, in microseconds")
        long stepPerSequenceUs,
    @Description("additional time of a step for each prompt token, in microseconds")
        long stepPerPrefillTokenUs,
    @Description("relative standard deviation of the step time") double stepJitter,
    @Description("length of the cold phase, in milliseconds; 0: no end by time") long coldMs,
    @Description("finished requests that end the cold phase; 0: no end by requests")
        int coldRequests,
    @Description("requests at once that a cold engine can handle; one more crashes it")
        int coldLimit,
    @Description("factor on the step time while cold") double coldSlowdown,
    @Description("time from a crash to the new incarnation, in milliseconds") long restartMs,
    @Description("time that a stream without connection is kept, in milliseconds")
        long resumeWindowMs,
    @Description("median of the output length, in tokens") int outputMedian,
    @Description("standard deviation of the logarithm of the output length") double outputSpread,
    @Description("names of the loaded models, separated by commas; empty: any model is served")
        String models,
    @Description("role of the engine") String role,
    @Description("time from an order to its effect, in milliseconds") long orderMs,
    @Description("seed of the step times") long seed) {

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
