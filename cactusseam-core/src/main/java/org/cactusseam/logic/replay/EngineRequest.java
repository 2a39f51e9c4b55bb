package org.cactusseam.logic.replay;

import java.util.List;

/**
 * A request to a simulated engine.
 *
 * @param id identity, unique among the active requests of the engine
 * @param rank priority; 0 is served first
 * @param promptTokens length of the prompt, at least 1
 * @param prefixBlocks hashes of the full blocks of the prompt, each of which covers the prompt up
 *     to the end of its block; empty if the prompt shares nothing
 * @param outputTokens tokens that the request generates, at least 1; the engine does not use this
 *     number before the end is reached
 * @param crashesEngine whether the engine crashes when it starts to run the request
 */
public record EngineRequest(
    String id,
    int rank,
    int promptTokens,
    List<Long> prefixBlocks,
    int outputTokens,
    boolean crashesEngine) {

  /** Checks the lengths. */
  public EngineRequest {
    if (promptTokens < 1 || outputTokens < 1) {
      throw new IllegalArgumentException("prompt and output need at least one token: " + id);
    }
    prefixBlocks = List.copyOf(prefixBlocks);
  }

  /**
   * Makes a request with a prompt of its own that does no harm.
   *
   * @param id identity
   * @param rank priority
   * @param promptTokens length of the prompt
   * @param outputTokens tokens that the request generates
   * @return the request
   */
  public static EngineRequest of(String id, int rank, int promptTokens, int outputTokens) {
    return new EngineRequest(id, rank, promptTokens, List.of(), outputTokens, false);
  }
}
