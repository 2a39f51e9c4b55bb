package org.cactusseam.edge.gateway;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Request counters and latency timers of the gateway, exported in the Prometheus text format. */
public final class GatewayMetrics {

  private static final String REQUESTS = "cactusseam_requests";
  private static final String CONTINUATIONS = "cactusseam_stream_continuations_total";
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private final MetricRegistry registry = new MetricRegistry();

  void recordEnd(String route, String outcome, Duration age) {
    registry.timer(REQUESTS + "{route=\"" + route + "\",outcome=\"" + outcome + "\"}").update(age);
  }

  void recordContinuation(String route) {
    registry.counter(CONTINUATIONS + "{route=\"" + route + "\"}").inc();
  }

  void increment(String name) {
    registry.counter(name).inc();
  }

  /**
   * Formats all counters and timers for a scrape.
   *
   * @return metrics in the Prometheus text exposition format
   */
  public String exposition() {
    StringBuilder text = new StringBuilder();
    registry.getCounters().forEach((name, counter) -> appendLine(text, name, counter.getCount()));
    for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
      String labels = entry.getKey().substring(REQUESTS.length());
      Snapshot snapshot = entry.getValue().getSnapshot();
      appendLine(text, REQUESTS + "_total" + labels, entry.getValue().getCount());
      for (double quantile : QUANTILES) {
        String labelsWithQuantile =
            labels.substring(0, labels.length() - 1) + ",quantile=\"" + quantile + "\"}";
        appendLine(
            text,
            REQUESTS + "_duration_seconds" + labelsWithQuantile,
            snapshot.getValue(quantile) / NANOS_PER_SECOND);
      }
    }
    return text.toString();
  }

  private static void appendLine(StringBuilder text, String name, Object value) {
    text.append(name).append(' ').append(value).append('\n');
  }
}
