package org.cactusseam.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HexFormat;
import org.cactusseam.standin.Json;

/** Numbered events of the prefix cache, published late and with gaps if a fault says so. */
final class CacheEvents {

  private static final int KEPT_EVENTS = 10_000;

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long nextNumber;

  private record Entry(long number, long atMs, String type, long block) {}

  /** Adds an event unless its number falls into a gap; the number is used up in any case. */
  void add(long atMs, String type, long block, int gapEvery) {
    long number = nextNumber++;
    if (gapEvery > 0 && number % gapEvery == 0) {
      return;
    }
    entries.add(new Entry(number, atMs, type, block));
    if (entries.size() > KEPT_EVENTS) {
      entries.removeFirst();
    }
  }

  void clear() {
    entries.clear();
    nextNumber = 0;
  }

  /** Writes the events from a number on that happened until a time. */
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
