package org.cactusseam.edge.metrics;

import com.codahale.metrics.Snapshot;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.stream.StreamSupport;
import org.HdrHistogram.AbstractHistogram;

/** Adapts an HDR histogram to the snapshot interface of the metrics library. */
final class HistogramSnapshot extends Snapshot {

  private static final double PERCENT = 100;

  private final AbstractHistogram histogram;

  /**
   * Creates a snapshot.
   *
   * @param histogram histogram, which must not be modified afterwards
   */
  HistogramSnapshot(AbstractHistogram histogram) {
    this.histogram = histogram;
  }

  @Override
  public double getValue(double quantile) {
    return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(quantile * PERCENT);
  }

  @Override
  public long[] getValues() {
    return StreamSupport.stream(histogram.recordedValues().spliterator(), false)
        .mapToLong(value -> value.getValueIteratedTo())
        .toArray();
  }

  @Override
  public int size() {
    return (int) Math.min(Integer.MAX_VALUE, histogram.getTotalCount());
  }

  @Override
  public long getMax() {
    return histogram.getMaxValue();
  }

  @Override
  public double getMean() {
    return histogram.getMean();
  }

  @Override
  public long getMin() {
    return histogram.getTotalCount() == 0 ? 0 : histogram.getMinValue();
  }

  @Override
  public double getStdDev() {
    return histogram.getStdDeviation();
  }

  @Override
  public void dump(OutputStream output) {
    PrintWriter writer = new PrintWriter(output, true, StandardCharsets.UTF_8);
    for (long value : getValues()) {
      writer.println(value);
    }
  }
}
