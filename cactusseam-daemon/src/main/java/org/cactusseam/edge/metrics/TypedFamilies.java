package org.cactusseam.edge.metrics;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.Collector;
import io.prometheus.client.dropwizard.DropwizardExports;
import java.util.List;

/**
 * Metrics of a registry with their labels, types and help texts. The library exports counters as
 * gauges, which rates must not be computed from, and quotes the name of one series as help text.
 */
final class TypedFamilies extends Collector {

  private static final String COUNTER_ENDING = "_total";
  private static final String HELP = "Explained in docs/operators.md.";

  private final DropwizardExports exports;

  /**
   * Creates the collector.
   *
   * @param registry registry to read
   */
  TypedFamilies(MetricRegistry registry) {
    this.exports = new DropwizardExports(registry, new LabelledSamples());
  }

  @Override
  public List<MetricFamilySamples> collect() {
    return exports.collect().stream().map(TypedFamilies::typed).toList();
  }

  private static MetricFamilySamples typed(MetricFamilySamples family) {
    Type type = family.name.endsWith(COUNTER_ENDING) ? Type.COUNTER : family.type;
    return new MetricFamilySamples(family.name, type, HELP, family.samples);
  }
}
