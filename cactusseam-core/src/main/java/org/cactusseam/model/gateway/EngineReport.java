package org.cactusseam.model.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * What a model engine reports of itself, some hundred milliseconds old.
 *
 * @param leavesIn time until it is gone, if it knows
 * @param leaving whether it takes no further requests
 * @param memoryUsed tokens of runs and copies that cannot be evicted
 * @param memoryTotal tokens that fit into its memory
 * @param runTokens tokens in memory of each run, by the identity of its attempt
 */
public record EngineReport(
    Optional<Duration> leavesIn,
    boolean leaving,
    int memoryUsed,
    int memoryTotal,
    Map<String, Integer> runTokens) {

  /** Copies the map. */
  public EngineReport {
    runTokens = Map.copyOf(runTokens);
  }
}
