package org.cactusseam.model.control;

/**
 * A control record with its position in the log.
 *
 * @param offset log offset
 * @param appendedAtMillis append time on the clock of the log, in milliseconds since the epoch
 * @param record stored record
 */
public record StoredRecord(long offset, long appendedAtMillis, ControlRecord record) {}
