package org.cactusseam.edge.metrics;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Keeps every value of the last one to two windows in histograms of HdrHistogram. A sample of
 * values would lose the tail that operators look for, and its size would not depend on the range of
 * values, which keeps this one small: a few kilobytes a series.
 */
final class HistogramReservoir implements Reservoir {

  /** A value leaves the snapshot after one to two windows. */
  static final Duration WINDOW = Duration.ofMinutes(1);

  // Two digits keep the error of a value below 1 percent.
  private static final int DIGITS = 2;

  private final Clock clock;
  private final long unit;
  private final long greatest;
  private AbstractHistogram current;
  private AbstractHistogram previous;
  private Instant windowStart;

  /**
   * Creates a reservoir.
   *
   * @param clock source of time
   * @param unit smallest difference between values that matters
   * @param greatest greatest value; larger ones count as this one
   */
  HistogramReservoir(Clock clock, long unit, long greatest) {
    this.clock = clock;
    this.unit = unit;
    this.greatest = greatest;
    this.windowStart = clock.instant();
    this.current = histogram();
    this.previous = histogram();
  }

  private AbstractHistogram histogram() {
    // Starts at the least size that the library allows and grows with the values.
    IntCountsHistogram histogram = new IntCountsHistogram(unit, 2 * unit, DIGITS);
    histogram.setAutoResize(true);
    return histogram;
  }

  private void rotate() {
    Duration age = Duration.between(windowStart, clock.instant());
    if (age.compareTo(WINDOW) < 0) {
      return;
    }
    previous = age.compareTo(WINDOW.multipliedBy(2)) < 0 ? current : histogram();
    current = histogram();
    windowStart = clock.instant();
  }

  @Override
  public synchronized int size() {
    rotate();
    return (int) Math.min(Integer.MAX_VALUE, current.getTotalCount() + previous.getTotalCount());
  }

  @Override
  public synchronized void update(long value) {
    rotate();
    current.recordValue(Math.clamp(value, 0, greatest));
  }

  @Override
  public synchronized Snapshot getSnapshot() {
    rotate();
    AbstractHistogram sum = histogram();
    sum.add(previous);
    sum.add(current);
    return new HistogramSnapshot(sum);
  }
}
