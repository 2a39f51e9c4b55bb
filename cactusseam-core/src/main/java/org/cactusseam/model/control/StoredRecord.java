package org.cactusseam.model.control;

/**
 * A control record at its place in the log.
 *
 * @param offset log offset
 * @param appendedAtMillis time of the append by the clock of the log, in milliseconds
 * @param record record
 */
public record StoredRecord(long offset, long appendedAtMillis, ControlRecord record) {}
