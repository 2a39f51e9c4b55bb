package org.cactusseam.edge.metrics;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Reservoir that counts every value of the last one to two windows in HDR histograms. A sampling
 * reservoir would lose the tail of the distribution. The histograms grow with the range of the
 * values and take a few kilobytes per series.
 */
final class HistogramReservoir implements Reservoir {

  /** Length of a window; a value stays in the snapshot for one to two windows. */
  static final Duration WINDOW = Duration.ofMinutes(1);

  // Two significant digits keep the relative error of a value below 1 percent.
  private static final int SIGNIFICANT_DIGITS = 2;

  private final Clock clock;
  private final long resolution;
  private final long max;
  private AbstractHistogram current;
  private AbstractHistogram previous;
  private Instant windowStart;

  /**
   * Creates a reservoir.
   *
   * @param clock clock that determines the windows
   * @param resolution smallest difference between values that is distinguished
   * @param max highest value; larger values are counted as this one
   */
  HistogramReservoir(Clock clock, long resolution, long max) {
    this.clock = clock;
    this.resolution = resolution;
    this.max = max;
    this.windowStart = clock.instant();
    this.current = newHistogram();
    this.previous = newHistogram();
  }

  private AbstractHistogram newHistogram() {
    // Starts with the smallest range that the library allows and grows with the values.
    IntCountsHistogram histogram =
        new IntCountsHistogram(resolution, 2 * resolution, SIGNIFICANT_DIGITS);
    histogram.setAutoResize(true);
    return histogram;
  }

  private void rotateWindows() {
    Duration age = Duration.between(windowStart, clock.instant());
    if (age.compareTo(WINDOW) < 0) {
      return;
    }
    previous = age.compareTo(WINDOW.multipliedBy(2)) < 0 ? current : newHistogram();
    current = newHistogram();
    windowStart = clock.instant();
  }

  @Override
  public synchronized int size() {
    rotateWindows();
    return (int) Math.min(Integer.MAX_VALUE, current.getTotalCount() + previous.getTotalCount());
  }

  @Override
  public synchronized void update(long value) {
    rotateWindows();
    current.recordValue(Math.clamp(value, 0, max));
  }

  @Override
  public synchronized Snapshot getSnapshot() {
    rotateWindows();
    AbstractHistogram merged = newHistogram();
    merged.add(previous);
    merged.add(current);
    return new HistogramSnapshot(merged);
  }
}
