package org.cactusseam.logic.replay;

import java.util.PriorityQueue;

/** Actions at points of simulated time; actions of the same time run in the order of entry. */
final class EventQueue {

  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private final PausedClock clock;
  private long nowMicros;
  private long order;

  private record Entry(long atMicros, long order, Runnable action) implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  EventQueue(PausedClock clock) {
    this.clock = clock;
  }

  long nowMicros() {
    return nowMicros;
  }

  void after(long delayMicros, Runnable action) {
    at(nowMicros + delayMicros, action);
  }

  void at(long atMicros, Runnable action) {
    entries.add(new Entry(Math.max(atMicros, nowMicros), order++, action));
  }

  /** Runs everything up to a time. */
  void runUntil(long endMicros) {
    while (!entries.isEmpty() && entries.peek().atMicros() <= endMicros) {
      Entry entry = entries.poll();
      nowMicros = entry.atMicros();
      clock.setMillis(nowMicros / 1_000);
      entry.action().run();
    }
  }
}
