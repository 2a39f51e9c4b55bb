package org.cactusseam.logic.replay;

import java.util.List;

/**
 * A request to a simulated engine.
 *
 * @param id identity, unique among the active requests of an engine
 * @param rank rank of the priority class; 0 is served first
 * @param promptTokens prompt length in tokens, at least 1
 * @param prefixBlocks hashes of the complete blocks of the prompt, each computed over the prompt up
 *     to the end of its block; empty if the prompt has no shared prefix
 * @param outputTokens number of tokens that the request generates, at least 1; the engine schedules
 *     without knowledge of it
 * @param crashesEngine whether the engine crashes when the request joins the batch
 */
public record EngineRequest(
    String id,
    int rank,
    int promptTokens,
    List<Long> prefixBlocks,
    int outputTokens,
    boolean crashesEngine) {

  /** Validates the lengths and makes a defensive copy of the hashes. */
  public EngineRequest {
    if (promptTokens < 1 || outputTokens < 1) {
      throw new IllegalArgumentException(
          "prompt and output need at least one token each in request " + id);
    }
    prefixBlocks = List.copyOf(prefixBlocks);
  }

  /**
   * Creates a request without a shared prefix that does not crash the engine.
   *
   * @param id identity, unique among the active requests of an engine
   * @param rank rank of the priority class; 0 is served first
   * @param promptTokens prompt length in tokens
   * @param outputTokens number of tokens that the request generates
   * @return request
   */
  public static EngineRequest of(String id, int rank, int promptTokens, int outputTokens) {
    return new EngineRequest(id, rank, promptTokens, List.of(), outputTokens, false);
  }
}
