package org.cactusseam.model.gateway;

/**
 * What the model engines of a service can do.
 *
 * @param slots requests that one engine runs at the same time
 * @param memoryTokens tokens that fit into the memory of one engine
 * @param copiesRuns whether an engine sends the memory of a run to another one while it grows
 * @param movesRuns whether a running request can be moved to another engine
 */
public record EngineTraits(int slots, int memoryTokens, boolean copiesRuns, boolean movesRuns) {}
