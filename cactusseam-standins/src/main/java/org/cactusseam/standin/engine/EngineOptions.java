package org.cactusseam.standin.engine;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.cactusseam.logic.replay.ColdStart;
import org.cactusseam.logic.replay.EngineSettings;
import org.cactusseam.logic.replay.StepTimes;
import org.cactusseam.standin.OptionDescription;

/** Settings of a simulated engine that are fixed at its start. */
public record EngineOptions(
    @OptionDescription("maximum number of sequences in a batch") int batchLimit,
    @OptionDescription("maximum number of queued requests; further ones are refused")
        int waitingLimit,
    @OptionDescription("maximum number of prompt tokens that one step prefills")
        int prefillTokensPerStep,
    @OptionDescription("capacity of the KV cache for prompts and outputs, in tokens")
        long memoryTokens,
    @OptionDescription("prompt tokens in one block of the prefix cache") int blockTokens,
    @OptionDescription("capacity of the prefix cache, in blocks") int cacheBlocks,
    @OptionDescription("base duration of a step, in microseconds") long stepUs,
    @OptionDescription("additional duration of a step per sequence, in microseconds")
        long stepPerSequenceUs,
    @OptionDescription("additional duration of a step per prefilled prompt token, in microseconds")
        long stepPerPrefillTokenUs,
    @OptionDescription("relative standard deviation of the step duration") double stepJitter,
    @OptionDescription("duration of the cold-start phase, in milliseconds; 0: no time limit")
        long coldMs,
    @OptionDescription(
            "number of finished requests that ends the cold-start phase; 0: no such limit")
        int coldRequests,
    @OptionDescription("concurrent requests that a cold engine can handle; one more crashes it")
        int coldLimit,
    @OptionDescription("factor applied to the step duration while cold") double coldSlowdown,
    @OptionDescription("time from a crash to the restart as a new incarnation, in milliseconds")
        long restartMs,
    @OptionDescription("time for which a disconnected stream can be resumed, in milliseconds")
        long resumeWindowMs,
    @OptionDescription("median output length, in tokens") int outputMedian,
    @OptionDescription("standard deviation of the natural logarithm of the output length")
        double outputSpread,
    @OptionDescription(
            "comma-separated names of the models loaded at the start; empty: any model is served")
        String models,
    @OptionDescription("role of the engine at the start") String role,
    @OptionDescription("time from an order until it takes effect, in milliseconds") long orderMs,
    @OptionDescription("seed of the random step durations") long seed) {

  /** Defaults: an engine of moderate speed without a cold-start phase. */
  public static final EngineOptions DEFAULTS =
      new EngineOptions(
          32, 1000, 2048, 100_000, 16, 2000, 20_000, 200, 20, 0.05, 0, 0, 2, 3, 2000, 30_000, 120,
          1.0, "", "serve", 200, 1);

  /** Converts the options to the settings of the engine model. */
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
   * Returns the names of the models that are loaded at the start.
   *
   * @return model names; empty if any model is served
   */
  List<String> modelNames() {
    return Arrays.stream(models.split(",", -1)).filter(name -> !name.isBlank()).toList();
  }

  private static Duration micros(long micros) {
    return Duration.ofNanos(micros * 1000);
  }
}
