package org.cactusseam.model.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * Report of a model engine about its state. It is some hundred milliseconds old on arrival.
 *
 * @param leavesIn time until the engine stops; empty if it does not know
 * @param leaving whether it accepts no further requests
 * @param memoryUsed tokens of runs and copies that cannot be evicted from its memory
 * @param memoryTotal capacity of its memory, in tokens
 * @param runTokens tokens in memory of each run, by the identifier of its attempt
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
