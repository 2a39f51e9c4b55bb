package org.cactusseam.model.gateway;

/**
 * Memory from which a run continues at another server.
 *
 * @param address address, IP:PORT, that names the copy together with the handle
 * @param handle identity of the copy at that address
 */
public record KvCopyReference(String address, String handle) {}
