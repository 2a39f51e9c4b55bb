package org.cactusseam.model.gateway;

import java.util.Optional;

/**
 * The newest record of a key in the platform's store, as gateways forward it to each other.
 *
 * @param topic topic of the record
 * @param key key of the record
 * @param position position in the topic
 * @param value encoded value as stored; empty if the key was deleted
 */
public record StoreRecord(
    String topic, String key, StorePosition position, Optional<byte[]> value) {}
