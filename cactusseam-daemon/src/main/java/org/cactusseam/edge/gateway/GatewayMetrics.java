package org.cactusseam.edge.gateway;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Counters and latencies of the gateway, shown as text for the scraper. */
public final class GatewayMetrics {

  private static final String REQUESTS = "cactusseam_requests";
  private static final String CONTINUATIONS = "cactusseam_stream_continuations_total";
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private final MetricRegistry registry = new MetricRegistry();

  void ended(String route, String outcome, Duration age) {
    registry.timer(REQUESTS + "{route=\"" + route + "\",outcome=\"" + outcome + "\"}").update(age);
  }

  void continued(String route) {
    registry.counter(CONTINUATIONS + "{route=\"" + route + "\"}").inc();
  }

  void count(String name) {
    registry.counter(name).inc();
  }

  /**
   * Shows all metrics.
   *
   * @return text in the exposition format of Prometheus
   */
  public String exposition() {
    StringBuilder text = new StringBuilder();
    registry.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
    for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
      String labels = entry.getKey().substring(REQUESTS.length());
      Snapshot snapshot = entry.getValue().getSnapshot();
      line(text, REQUESTS + "_total" + labels, entry.getValue().getCount());
      for (double quantile : QUANTILES) {
        String with = labels.substring(0, labels.length() - 1) + ",quantile=\"" + quantile + "\"}";
        line(
            text,
            REQUESTS + "_duration_seconds" + with,
            snapshot.getValue(quantile) / NANOS_PER_SECOND);
      }
    }
    return text.toString();
  }

  private static void line(StringBuilder text, String name, Object value) {
    text.append(name).append(' ').append(value).append('\n');
  }
}
