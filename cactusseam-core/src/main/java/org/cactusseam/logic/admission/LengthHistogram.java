package org.cactusseam.logic.admission;

import org.HdrHistogram.HistogramIterationValue;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Histogram of the output lengths of finished generations. It gives the mean length of all
 * generations that are longer than a number of tokens already generated. All counts are halved when
 * they reach 1,024, so that old lengths lose weight, because the workload of an account changes
 * over days.
 */
final class LengthHistogram {

  private static final long MAXIMUM_TOKENS = 1 << 17;
  private static final int STEPS_PER_DOUBLING = 4;
  private static final int STEPS = 18 * STEPS_PER_DOUBLING;
  private static final int HALVING_COUNT = 1024;

  /**
   * The means are updated after a sixteenth more lengths, and after at most 17 lengths, because
   * each update reads the whole histogram.
   */
  private static final int REFRESH_INTERVAL = 16;

  private IntCountsHistogram histogram = new IntCountsHistogram(MAXIMUM_TOKENS, 1);

  /** Mean length of all recorded generations that are at least as long as each step. */
  private final double[] meanFrom = new double[STEPS];

  private long recorded;
  private long refreshAt;

  /** Adds the length of a finished generation. */
  void add(long tokens) {
    histogram.recordValue(Math.clamp(tokens, 1, MAXIMUM_TOKENS));
    recorded++;
    if (histogram.getTotalCount() >= HALVING_COUNT) {
      halve();
    }
    if (recorded >= refreshAt) {
      refresh();
      refreshAt = recorded + 1 + Math.min(recorded / REFRESH_INTERVAL, REFRESH_INTERVAL);
    }
  }

  /** Returns the number of lengths that were added, including those that lost their weight. */
  long recorded() {
    return recorded;
  }

  /**
   * Returns the expected total length of a generation.
   *
   * @param generated tokens generated so far
   * @return expected total in tokens; exceeds {@code generated} by at least a quarter and at least
   *     8 tokens, because a generation that is longer than all recorded ones probably goes on
   */
  double expectedTotal(long generated) {
    double mean = meanFrom[step(generated)];
    double least = generated + Math.max(8.0, generated / 4.0);
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

  /**
   * Returns the index of a length on a logarithmic scale with {@link #STEPS_PER_DOUBLING} steps per
   * doubling.
   */
  private static int step(long tokens) {
    long value = Math.clamp(tokens, 0, MAXIMUM_TOKENS) + 1;
    int exponent = Long.SIZE - 1 - Long.numberOfLeadingZeros(value);
    long fraction = ((value << 2) >> exponent) & (STEPS_PER_DOUBLING - 1);
    return exponent * STEPS_PER_DOUBLING + (int) fraction;
  }
}
