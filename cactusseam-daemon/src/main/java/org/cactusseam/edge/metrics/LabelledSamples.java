package org.cactusseam.edge.metrics;

import io.prometheus.client.Collector.MetricFamilySamples.Sample;
import io.prometheus.client.dropwizard.samplebuilder.SampleBuilder;
import java.util.ArrayList;
import java.util.List;

/** Creates samples whose name and labels are decoded from a {@link SeriesName}. */
final class LabelledSamples implements SampleBuilder {

  @Override
  public Sample createSample(
      String name, String suffix, List<String> keys, List<String> values, double value) {
    SeriesName series = SeriesName.decode(name);
    List<String> allKeys = new ArrayList<>();
    List<String> allValues = new ArrayList<>();
    series
        .labels()
        .forEach(
            label -> {
              allKeys.add(label.key());
              allValues.add(label.value());
            });
    allKeys.addAll(keys);
    allValues.addAll(values);
    return new Sample(series.metric() + suffix, allKeys, allValues, value);
  }
}
