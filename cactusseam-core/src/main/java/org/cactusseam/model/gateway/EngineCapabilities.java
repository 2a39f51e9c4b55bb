package org.cactusseam.model.gateway;

/**
 * Configured capabilities of the model engines of a service.
 *
 * @param slots number of requests that one engine runs concurrently
 * @param memoryTokens memory of one engine, in tokens; 0 if not configured
 * @param supportsKvCopy whether the KV cache of a running request can be copied to another engine
 */
public record EngineCapabilities(int slots, int memoryTokens, boolean supportsKvCopy) {}
