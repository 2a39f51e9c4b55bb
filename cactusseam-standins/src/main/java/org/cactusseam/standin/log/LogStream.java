package org.cactusseam.standin.log;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.cactusseam.standin.Json;

/** Records of one named stream, with consecutive offsets from 0. */
final class LogStream {

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long end;

  private record Entry(long offset, long appendedAtMs, String value) {}

  /** Appends a record and returns its offset. */
  long append(String value, long nowMs) {
    entries.addLast(new Entry(end, nowMs, value));
    return end++;
  }

  /** Returns the offset of the next record to be written. */
  long end() {
    return end;
  }

  /** Removes records by age and by count; 0 means no limit. */
  void retain(long nowMs, long retentionMs, int retentionRecords) {
    while (!entries.isEmpty() && isExpired(entries.getFirst(), nowMs, retentionMs)) {
      entries.removeFirst();
    }
    while (retentionRecords > 0 && entries.size() > retentionRecords) {
      entries.removeFirst();
    }
  }

  /** Writes the answer to a read. */
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
