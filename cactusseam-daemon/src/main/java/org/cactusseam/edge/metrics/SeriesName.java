package org.cactusseam.edge.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Name of a metric with its labels. The metrics library knows plain names only, so the labels
 * travel inside the name and {@link LabelledSamples} takes them out for the scraper.
 *
 * @param metric name in the exposition format
 * @param labels labels
 */
record SeriesName(String metric, List<Label> labels) {

  // Names of objects cannot contain these signs.
  private static final String LABEL_SIGN = "|";
  private static final String VALUE_SIGN = "=";

  /**
   * A label.
   *
   * @param key key
   * @param value value
   */
  record Label(String key, String value) {}

  SeriesName {
    labels = List.copyOf(labels);
  }

  String encode() {
    return metric
        + labels.stream()
            .map(label -> LABEL_SIGN + label.key() + VALUE_SIGN + label.value())
            .collect(Collectors.joining());
  }

  static SeriesName decode(String text) {
    String[] parts = text.split("\\|");
    List<Label> labels = new ArrayList<>();
    for (int index = 1; index < parts.length; index++) {
      int sign = parts[index].indexOf(VALUE_SIGN);
      labels.add(new Label(parts[index].substring(0, sign), parts[index].substring(sign + 1)));
    }
    return new SeriesName(parts[0], labels);
  }
}
