package org.cactusseam.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Aggregates the results of all calls of a run. Not thread-safe; used on a single event loop. */
final class CallTotals {

  private static final long MAX_MICROS = Duration.ofHours(1).toNanos() / 1_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;

  private final Map<CallResult.Ending, Integer> endings = new EnumMap<>(CallResult.Ending.class);
  private final Map<Integer, Integer> codes = new TreeMap<>();
  private final Histogram firstToken = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram betweenTokens = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private long tokens;
  private long resumes;

  void addGap(Duration gap) {
    betweenTokens.recordValue(micros(gap));
  }

  void add(CallResult result) {
    endings.merge(result.ending(), 1, Integer::sum);
    if (result.code() != 0) {
      codes.merge(result.code(), 1, Integer::sum);
    }
    result.firstToken().ifPresent(time -> firstToken.recordValue(micros(time)));
    tokens += result.tokens();
    resumes += result.resumes();
  }

  private static long micros(Duration duration) {
    return Math.clamp(duration.toNanos() / 1_000, 0, MAX_MICROS);
  }

  /**
   * Returns the exit code of the worst outcome among the calls.
   *
   * @return exit code of the process
   */
  ExitCode exitCode() {
    return endings.keySet().stream()
        .max(Enum::compareTo)
        .map(CallResult.Ending::exitCode)
        .orElse(ExitCode.OK);
  }

  /**
   * Returns a percentile of the time between tokens, or 0 if none was measured.
   *
   * @param percentile percentile, from 0 to 100
   * @return time in milliseconds
   */
  double betweenTokensMillis(double percentile) {
    return betweenTokens.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /**
   * Formats the totals as JSON.
   *
   * @param elapsed wall-clock duration of the run
   * @return JSON object
   */
  ObjectNode toJson(Duration elapsed) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("requests", endings.values().stream().mapToInt(Integer::intValue).sum());
    for (CallResult.Ending ending : CallResult.Ending.values()) {
      node.put(ending.name().toLowerCase(Locale.ROOT), endings.getOrDefault(ending, 0));
    }
    ObjectNode byCode = node.putObject("codes");
    codes.forEach((code, count) -> byCode.put(Integer.toString(code), count));
    node.put("resumes", resumes);
    node.put("tokens", tokens);
    node.put("seconds", elapsed.toMillis() / 1_000.0);
    node.set("first_token_ms", toJson(firstToken));
    node.set("between_tokens_ms", toJson(betweenTokens));
    return node;
  }

  private static ObjectNode toJson(Histogram histogram) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("p50", histogram.getValueAtPercentile(50) / MICROS_PER_MILLI);
    node.put("p95", histogram.getValueAtPercentile(95) / MICROS_PER_MILLI);
    node.put("p99", histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
    node.put("max", histogram.getMaxValue() / MICROS_PER_MILLI);
    return node;
  }
}
