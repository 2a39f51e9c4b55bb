package org.cactusseam.edge.metrics;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.Collector;
import io.prometheus.client.dropwizard.DropwizardExports;
import java.util.List;

/**
 * Exports the metrics of a registry with labels, types and help texts. The library exports counters
 * as gauges, from which rates must not be computed, and uses the name of a single series as help
 * text.
 */
final class TypedFamilies extends Collector {

  private static final String COUNTER_SUFFIX = "_total";
  private static final String HELP = "Explained in docs/operators.md.";

  private final DropwizardExports exports;

  /**
   * Creates the collector.
   *
   * @param registry registry whose metrics are exported
   */
  TypedFamilies(MetricRegistry registry) {
    this.exports = new DropwizardExports(registry, new LabelledSamples());
  }

  @Override
  public List<MetricFamilySamples> collect() {
    return exports.collect().stream().map(TypedFamilies::withType).toList();
  }

  private static MetricFamilySamples withType(MetricFamilySamples family) {
    Type type = family.name.endsWith(COUNTER_SUFFIX) ? Type.COUNTER : family.type;
    return new MetricFamilySamples(family.name, type, HELP, family.samples);
  }
}
