package org.cactusseam.model.gateway;

/**
 * What the model engines of a service can do.
 *
 * @param slots requests that one engine runs at the same time
 * @param memoryTokens tokens that fit into the memory of one engine
 * @param supportsKvCopy whether the memory of a running request can be copied to another engine
 */
public record EngineCapabilities(int slots, int memoryTokens, boolean supportsKvCopy) {}
