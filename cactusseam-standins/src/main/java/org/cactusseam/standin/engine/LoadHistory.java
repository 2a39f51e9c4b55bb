package org.cactusseam.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;

/** Keeps recent load reports, so that a fault can return stale ones. */
final class LoadHistory {

  /** Limits memory use. Reports are recorded every 10 ms, so this covers 100 s. */
  private static final int MAX_REPORTS = 10_000;

  private final Deque<Entry> entries = new ArrayDeque<>();

  private record Entry(long atMs, ObjectNode report) {}

  void add(long atMs, ObjectNode report) {
    entries.add(new Entry(atMs, report));
    if (entries.size() > MAX_REPORTS) {
      entries.removeFirst();
    }
  }

  /**
   * Returns the newest report that is at least {@code ageMs} old, with its actual age. Returns the
   * oldest report if none is that old, or {@code current} if there are no reports.
   */
  ObjectNode findReport(long nowMs, long ageMs, ObjectNode current) {
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
