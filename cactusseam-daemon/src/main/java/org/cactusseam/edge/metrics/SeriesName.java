package org.cactusseam.edge.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Name of a metric with its labels. The metrics library supports only plain names, so the labels
 * are encoded in the name, and {@link LabelledSamples} decodes them for the exposition.
 *
 * @param metric name in the exposition format
 * @param labels labels in the order of the exposition
 */
record SeriesName(String metric, List<Label> labels) {

  // Names of accounts and classes cannot contain these characters.
  private static final String LABEL_SEPARATOR = "|";
  private static final String VALUE_SEPARATOR = "=";

  /**
   * Label of a series.
   *
   * @param key name of the label
   * @param value value of the label
   */
  record Label(String key, String value) {}

  SeriesName {
    labels = List.copyOf(labels);
  }

  String encode() {
    return metric
        + labels.stream()
            .map(label -> LABEL_SEPARATOR + label.key() + VALUE_SEPARATOR + label.value())
            .collect(Collectors.joining());
  }

  static SeriesName decode(String text) {
    String[] parts = text.split("\\|");
    List<Label> labels = new ArrayList<>();
    for (int index = 1; index < parts.length; index++) {
      int separator = parts[index].indexOf(VALUE_SEPARATOR);
      labels.add(
          new Label(parts[index].substring(0, separator), parts[index].substring(separator + 1)));
    }
    return new SeriesName(parts[0], labels);
  }
}
