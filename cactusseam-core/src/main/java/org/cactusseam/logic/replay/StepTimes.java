package org.cactusseam.logic.replay;

import java.time.Duration;

/**
 * Cost of one step of continuous batching.
 *
 * @param base time of a step of any size
 * @param perSequence additional time for each sequence in the batch
 * @param perPrefillToken additional time for each prompt token that the step processes
 * @param jitter relative standard deviation of the step time; 0 for exact times
 */
public record StepTimes(
    Duration base, Duration perSequence, Duration perPrefillToken, double jitter) {

  /** Checks that a step takes time, because the simulated clock would stand still otherwise. */
  public StepTimes {
    if (base.isNegative() || base.isZero()) {
      throw new IllegalArgumentException("base time of a step must be positive: " + base);
    }
    if (perSequence.isNegative() || perPrefillToken.isNegative() || jitter < 0) {
      throw new IllegalArgumentException("costs of a step must not be negative");
    }
  }
}
