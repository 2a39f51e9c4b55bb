package org.cactusseam.standin.log;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.cactusseam.standin.Json;

/** In-memory records of one named stream, with consecutive offsets from 0. */
final class LogStream {

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long end;

  private record Entry(long offset, long appendedAtMs, String value) {}

  /** Appends a record and returns its offset. */
  long append(String value, long nowMs) {
    entries.addLast(new Entry(end, nowMs, value));
    return end++;
  }

  /** Returns the offset that the next appended record will get. */
  long end() {
    return end;
  }

  /**
   * Removes the oldest records that exceed the maximum age or the maximum number; 0 disables a
   * limit.
   */
  void applyRetention(long nowMs, long retentionMs, int retentionRecords) {
    while (!entries.isEmpty() && isExpired(entries.getFirst(), nowMs, retentionMs)) {
      entries.removeFirst();
    }
    while (retentionRecords > 0 && entries.size() > retentionRecords) {
      entries.removeFirst();
    }
  }

  /** Builds the response to a read of at most {@code limit} records from an offset on. */
  ObjectNode read(long from, long limit) {
    ObjectNode answer = Json.object();
    ArrayNode records = answer.putArray("records");
    Iterator<Entry> iterator = entries.iterator();
    while (iterator.hasNext() && records.size() < limit) {
      Entry entry = iterator.next();
      if (entry.offset >= from) {
        records
            .addObject()
            .put("offset", entry.offset)
            .put("appended_at_ms", entry.appendedAtMs)
            .put("value", entry.value);
      }
    }
    return answer.put("earliest", end - entries.size()).put("end", end);
  }

  private static boolean isExpired(Entry entry, long nowMs, long retentionMs) {
    return retentionMs > 0 && nowMs - entry.appendedAtMs >= retentionMs;
  }
}
