package org.cactusseam.model.gateway;

import java.util.Optional;

/**
 * The newest record of a key in the platform's store, as one gateway passes it on to another.
 *
 * @param topic topic of the record
 * @param key key
 * @param offset position in the topic; a higher one is newer
 * @param value value as it is stored, absent if the key was dropped
 */
public record StoreRecord(String topic, String key, long offset, Optional<byte[]> value) {}
