package org.cactusseam.logic.replay;

import java.util.PriorityQueue;

/**
 * Event queue of the discrete-event simulation: runs actions at their simulated time. Actions with
 * the same time run in the order in which they were scheduled.
 */
final class EventQueue {

  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private final PausedClock clock;
  private long nowMicros;
  private long sequence;

  private record Entry(long atMicros, long sequence, Runnable action) implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  EventQueue(PausedClock clock) {
    this.clock = clock;
  }

  long nowMicros() {
    return nowMicros;
  }

  /** Schedules an action after a delay from the current simulated time. */
  void scheduleAfter(long delayMicros, Runnable action) {
    scheduleAt(nowMicros + delayMicros, action);
  }

  /** Schedules an action at a time; a time in the past counts as now. */
  void scheduleAt(long atMicros, Runnable action) {
    entries.add(new Entry(Math.max(atMicros, nowMicros), sequence++, action));
  }

  /** Runs all actions scheduled up to and including the given time. */
  void runUntil(long endMicros) {
    while (!entries.isEmpty() && entries.peek().atMicros() <= endMicros) {
      Entry entry = entries.poll();
      nowMicros = entry.atMicros();
      clock.setMillis(nowMicros / 1_000);
      entry.action().run();
    }
  }
}
