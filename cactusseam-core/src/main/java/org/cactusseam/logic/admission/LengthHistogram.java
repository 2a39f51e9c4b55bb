package org.cactusseam.logic.admission;

import org.HdrHistogram.HistogramIterationValue;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Output lengths of finished generations, with the mean length of those that outlast a given number
 * of tokens. Old lengths lose weight by halving all counts now and then, because the use of an
 * account changes over days.
 */
final class LengthHistogram {

  private static final long MAXIMUM_TOKENS = 1 << 17;
  private static final int STEPS_PER_DOUBLING = 4;
  private static final int STEPS = 18 * STEPS_PER_DOUBLING;
  private static final int HALVE_AT = 1024;
  private static final int REFRESH_PART = 16;

  private IntCountsHistogram histogram = new IntCountsHistogram(MAXIMUM_TOKENS, 1);
  private final double[] meanFrom = new double[STEPS];
  private long recorded;
  private long refreshAt;

  /** Adds the length of a finished generation. */
  void add(long tokens) {
    histogram.recordValue(Math.clamp(tokens, 1, MAXIMUM_TOKENS));
    recorded++;
    if (histogram.getTotalCount() >= HALVE_AT) {
      halve();
    }
    if (recorded >= refreshAt) {
      refresh();
      refreshAt = recorded + 1 + Math.min(recorded / REFRESH_PART, REFRESH_PART);
    }
  }

  /** Returns how many lengths were added, also those forgotten. */
  long recorded() {
    return recorded;
  }

  /**
   * Returns the expected length of a generation.
   *
   * @param seen tokens generated so far
   * @return expected total, more than {@code seen}
   */
  double expectedTotal(long seen) {
    double mean = meanFrom[step(seen)];
    double least = seen + Math.max(8.0, seen / 4.0);
    return Math.max(mean, least);
  }

  private void halve() {
    IntCountsHistogram half = new IntCountsHistogram(MAXIMUM_TOKENS, 1);
    for (HistogramIterationValue value : histogram.recordedValues()) {
      long count = (value.getCountAtValueIteratedTo() + 1) / 2;
      half.recordValueWithCount(value.getValueIteratedTo(), count);
    }
    histogram = half;
  }

  private void refresh() {
    double[] sums = new double[STEPS];
    long[] counts = new long[STEPS];
    for (HistogramIterationValue value : histogram.recordedValues()) {
      long count = value.getCountAtValueIteratedTo();
      int step = step(value.getValueIteratedTo());
      counts[step] += count;
      sums[step] += (double) count * histogram.medianEquivalentValue(value.getValueIteratedTo());
    }
    double sum = 0;
    long count = 0;
    for (int step = STEPS - 1; step >= 0; step--) {
      sum += sums[step];
      count += counts[step];
      meanFrom[step] = count == 0 ? 0 : sum / count;
    }
  }

  private static int step(long tokens) {
    long value = Math.clamp(tokens, 0, MAXIMUM_TOKENS) + 1;
    int exponent = Long.SIZE - 1 - Long.numberOfLeadingZeros(value);
    long fraction = ((value << 2) >> exponent) & (STEPS_PER_DOUBLING - 1);
    return exponent * STEPS_PER_DOUBLING + (int) fraction;
  }
}
