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

  /**
   * Returns the newest report that has an age or is older, or the oldest one that is known, with
   * its age.
   */
  ObjectNode at(long nowMs, long ageMs, ObjectNode current) {
    Entry found = entries.isEmpty() ? new Entry(nowMs, current) : entries.getFirst();
    for (Entry entry : entries) {
      if (entry.atMs > nowMs - ageMs) {
        break;
      }
      found = entry;
    }
    return found.report.deepCopy().put("report_age_ms", nowMs - found.atMs);
  }

  void clear() {
    entries.clear();
  }
}
