package org.cactusseam.edge.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Part of a stream of the log.
 *
 * @param records records, in the order of their offsets
 * @param earliest first offset that the service still holds
 * @param end offset of the next record to be appended
 */
public record LogPage(List<LogEntry> records, long earliest, long end) {

  /**
   * A record with its position.
   *
   * @param offset offset
   * @param appendedAtMillis time of the append by the clock of the service, in milliseconds
   * @param value record
   */
  public record LogEntry(
      long offset, @JsonProperty("appended_at_ms") long appendedAtMillis, String value) {}

  /** Copies the list. */
  public LogPage {
    records = List.copyOf(records);
  }
}
