package org.cactusseam.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;

/** Recent load reports, from which lagged ones are answered. */
final class LoadHistory {

  /** Bounds the memory; reports are recorded every 10 ms, so this is 100 s. */
  private static final int KEPT_REPORTS = 10_000;

  private final Deque<Entry> entries = new ArrayDeque<>();

  private record Entry(long atMs, ObjectNode report) {}

  void add(long atMs, ObjectNode report) {
    entries.add(new Entry(atMs, report));
    if (entries.size() > KEPT_REPORTS) {
      entries.removeFirst();
    }
  }

  /** Returns the newest report of a time or before, or the oldest one that is known. */
  ObjectNode at(long timeMs, ObjectNode current) {
    ObjectNode found = entries.isEmpty() ? current : entries.getFirst().report;
    for (Entry entry : entries) {
      if (entry.atMs > timeMs) {
        break;
      }
      found = entry.report;
    }
    return found;
  }

  void clear() {
    entries.clear();
  }
}
