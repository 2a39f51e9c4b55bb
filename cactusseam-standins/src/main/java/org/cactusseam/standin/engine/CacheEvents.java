package org.cactusseam.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HexFormat;
import org.cactusseam.standin.Json;

/** Log of numbered prefix-cache events. Faults can delay their publication and leave gaps. */
final class CacheEvents {

  private static final int MAX_EVENTS = 10_000;

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long nextNumber;

  private record Entry(long number, long atMs, String type, long block) {}

  /**
   * Adds an event. An event whose number is a multiple of {@code gapEvery} is omitted, but its
   * number is consumed, which leaves a gap.
   */
  void add(long atMs, String type, long block, int gapEvery) {
    long number = nextNumber++;
    if (gapEvery > 0 && number % gapEvery == 0) {
      return;
    }
    entries.add(new Entry(number, atMs, type, block));
    if (entries.size() > MAX_EVENTS) {
      entries.removeFirst();
    }
  }

  void clear() {
    entries.clear();
    nextNumber = 0;
  }

  /**
   * Builds a report of the events that have at least the given number and happened until the given
   * time.
   */
  ObjectNode report(String incarnation, long from, long untilMs) {
    ObjectNode report = Json.object().put("incarnation", incarnation);
    ArrayNode events = report.putArray("events");
    for (Entry entry : entries) {
      if (entry.number >= from && entry.atMs <= untilMs) {
        events
            .addObject()
            .put("number", entry.number)
            .put("type", entry.type)
            .put("prefix_hash", HexFormat.of().toHexDigits(entry.block));
      }
    }
    return report;
  }
}
