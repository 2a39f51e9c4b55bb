package org.cactusseam.edge.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Result of a read: consecutive records of a stream.
 *
 * @param records records, in the order of their offsets
 * @param earliest offset of the first record that the service still stores
 * @param end offset of the next record to be appended
 */
public record LogPage(List<LogEntry> records, long earliest, long end) {

  /**
   * Record of a stream with its position.
   *
   * @param offset position in the stream
   * @param appendedAtMillis time of the append by the clock of the service, in milliseconds
   * @param value text that was appended
   */
  public record LogEntry(
      long offset, @JsonProperty("appended_at_ms") long appendedAtMillis, String value) {}

  /** Copies the list, so that the page is immutable. */
  public LogPage {
    records = List.copyOf(records);
  }
}
