package org.cactusseam.edge.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.cactusseam.edge.metrics.SeriesName.Label;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.ResultCode;

/**
 * Collects request metrics by client account and by priority class. Thread-safe.
 *
 * <p>The number of series is bounded: accounts beyond {@link #MAX_ACCOUNTS} and classes beyond
 * {@link #MAX_CLASSES} are counted under the label value {@code other}, so that neither many nor
 * frequently renamed accounts can exhaust the memory of a small VM.
 */
public final class RequestMetrics {

  /** Maximum number of accounts with their own series; the target scale is 630 accounts. */
  public static final int MAX_ACCOUNTS = 700;

  /** Maximum number of priority classes with their own series; ranks range from 0 to 9. */
  public static final int MAX_CLASSES = 32;

  /** Content type of {@link #expose}, for the HTTP header. */
  public static final String CONTENT_TYPE = TextFormat.CONTENT_TYPE_004;

  // About ten times the target of 47 ms between tokens; human readers notice a pause this long.
  private static final Duration STALL_THRESHOLD = Duration.ofMillis(500);
  private static final String OTHER = "other";
  private static final long TIME_RESOLUTION_NANOS = 100_000;
  private static final long MAX_NANOS = Duration.ofHours(1).toNanos();
  private static final long MAX_TOKENS = 10_000_000;

  private final MetricRegistry registry = new MetricRegistry();
  private final CollectorRegistry collectors = new CollectorRegistry();
  private final Clock clock;
  private final Set<String> accounts = new HashSet<>();
  private final Set<String> classes = new HashSet<>();

  /**
   * Creates the metrics.
   *
   * @param clock clock that determines the windows of the histograms
   */
  public RequestMetrics(Clock clock) {
    this.clock = clock;
    collectors.register(new TypedFamilies(registry));
  }

  /**
   * Returns the registry, in which other parts of the daemon register gauges. Their names are
   * exposed unchanged.
   *
   * @return registry of all metrics
   */
  public MetricRegistry registry() {
    return registry;
  }

  /**
   * Returns a recorder for one request. The recorder holds the series, because looking them up for
   * each token would cost more than the measurement.
   *
   * @param account name of the client account
   * @param priorityClass name of the priority class of the account
   * @return recorder of the series of the account and the class
   */
  public RequestRecorder recorder(AccountName account, PriorityClassName priorityClass) {
    Label accountLabel =
        new Label("account", boundedLabel(account.value(), accounts, MAX_ACCOUNTS));
    Label classLabel =
        new Label("class", boundedLabel(priorityClass.value(), classes, MAX_CLASSES));
    return new RequestRecorder(
        List.of(new Series(this, "account", accountLabel), new Series(this, "class", classLabel)),
        STALL_THRESHOLD);
  }

  private static String boundedLabel(String name, Set<String> known, int max) {
    synchronized (known) {
      if (known.contains(name)) {
        return name;
      }
      if (known.size() >= max) {
        return OTHER;
      }
      known.add(name);
      return name;
    }
  }

  /**
   * Formats all metrics in the Prometheus text exposition format.
   *
   * @return text of type {@link #CONTENT_TYPE}
   */
  public String expose() {
    StringWriter writer = new StringWriter();
    try {
      TextFormat.write004(writer, collectors.metricFamilySamples());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return writer.toString();
  }

  /** Metrics of one account or priority class. */
  static final class Series {

    private final RequestMetrics metrics;
    private final String prefix;
    private final Label label;
    private final Timer firstToken;
    private final Timer betweenTokens;
    private final Timer waiting;
    private final Timer stalls;
    private final Histogram tokens;

    Series(RequestMetrics metrics, String kind, Label label) {
      this.metrics = metrics;
      this.prefix = "cactusseam_" + kind + "_";
      this.label = label;
      this.firstToken = timer("first_token_seconds");
      this.betweenTokens = timer("between_tokens_seconds");
      this.waiting = timer("waiting_seconds");
      this.stalls = timer("stall_seconds");
      this.tokens =
          metrics.registry.histogram(
              name("tokens", label),
              () -> new Histogram(new HistogramReservoir(metrics.clock, 1, MAX_TOKENS)));
    }

    private String name(String metric, Label... labels) {
      return new SeriesName(prefix + metric, List.of(labels)).encode();
    }

    private Timer timer(String metric) {
      return metrics.registry.timer(
          name(metric, label),
          () -> new Timer(new HistogramReservoir(metrics.clock, TIME_RESOLUTION_NANOS, MAX_NANOS)));
    }

    Timer firstToken() {
      return firstToken;
    }

    Timer betweenTokens() {
      return betweenTokens;
    }

    Timer waiting() {
      return waiting;
    }

    Timer stalls() {
      return stalls;
    }

    void recordEnd(long count) {
      tokens.update(count);
      metrics.registry.counter(name("tokens_total", label)).inc(count);
    }

    void recordStall(Duration gap) {
      stalls.update(gap);
      metrics.registry.counter(name("stall_milliseconds_total", label)).inc(gap.toMillis());
    }

    void recordRefusal(ResultCode code) {
      Label codeLabel = new Label("code", Integer.toString(code.number()));
      Label nameLabel = new Label("name", code.name().toLowerCase(Locale.ROOT));
      metrics.registry.counter(name("refusals_total", label, codeLabel, nameLabel)).inc();
    }

    void recordPreemption() {
      metrics.registry.counter(name("preemptions_total", label)).inc();
    }
  }
}
