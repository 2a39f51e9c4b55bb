package org.cactusseam.model.gateway;

/**
 * Reference to a copy of a run's KV cache, from which the run continues at the server that holds
 * the copy.
 *
 * @param address address (IP:PORT) that identifies the copy together with the handle
 * @param handle identifier of the copy at that address
 */
public record KvCopyReference(String address, String handle) {}
