package org.cactusseam.logic.replay;

import java.time.Duration;

/**
 * Duration of one step of continuous batching.
 *
 * @param base fixed duration of a step
 * @param perSequence additional duration for each sequence in the batch
 * @param perPrefillToken additional duration for each prompt token that the step prefills
 * @param jitter standard deviation relative to the duration; 0 for deterministic steps
 */
public record StepTimes(
    Duration base, Duration perSequence, Duration perPrefillToken, double jitter) {

  /** Checks that a step has a positive duration; otherwise the simulation would never advance. */
  public StepTimes {
    if (base.isNegative() || base.isZero()) {
      throw new IllegalArgumentException("base duration of a step must be positive: " + base);
    }
    if (perSequence.isNegative() || perPrefillToken.isNegative() || jitter < 0) {
      throw new IllegalArgumentException(
          "durations per sequence and per prefill token and the jitter must not be negative");
    }
  }
}
