package org.cactusseam.logic.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Locale;

/**
 * Result of a replay: latencies and request counts by account, by priority class and in total.
 *
 * @param coldViolations number of requests that engines received beyond the limit of their cold
 *     phase
 * @param crashes number of engine crashes
 * @param rows one row for each account, then one for each class, then the total
 */
public record ReplayReport(long coldViolations, long crashes, List<Row> rows) {

  private static final JsonMapper MAPPER =
      JsonMapper.builder().propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build();

  /** Makes a defensive copy of the rows. */
  public ReplayReport {
    rows = List.copyOf(rows);
  }

  /**
   * Statistics of one account, of one class or of the whole run. Times are in milliseconds.
   *
   * @param kind {@code account}, {@code class} or {@code total}
   * @param name name of the account or class; {@code all} for the total
   * @param requests number of requests that callers sent
   * @param refused number of requests that admission refused
   * @param failed number of requests whose response failed
   * @param preemptions number of preemptions in engines
   * @param stallMillis sum of the time by which gaps between tokens exceed 200 ms
   * @param gapP95 95th percentile of the time between tokens
   * @param gapP99 99th percentile of the time between tokens
   * @param gapP999 99.9th percentile of the time between tokens
   * @param firstP50 median time to first token
   * @param firstP95 95th percentile of the time to first token
   * @param firstP99 99th percentile of the time to first token
   * @param rareP95 95th percentile of the time to first token in the burst of the premium account
   *     that is otherwise idle
   * @param goodRequests number of requests whose response was complete before the deadline
   * @param goodTokens number of output tokens of these requests
   * @param begunWhileOut number of requests that arrived while a failure domain was out of service
   *     and whose first token was on time
   * @param begunWhileReturning the same for requests that arrived within 20 s of its return
   * @param crossRegionBytes bytes of prompts and responses sent between regions
   */
  public record Row(
      String kind,
      String name,
      long requests,
      long refused,
      long failed,
      long preemptions,
      long stallMillis,
      double gapP95,
      double gapP99,
      double gapP999,
      double firstP50,
      double firstP95,
      double firstP99,
      double rareP95,
      long goodRequests,
      long goodTokens,
      long begunWhileOut,
      long begunWhileReturning,
      long crossRegionBytes) {}

  /**
   * Returns the row of the whole run.
   *
   * @return total over all requests
   */
  public Row total() {
    return rows.getLast();
  }

  /**
   * Formats the result as JSON.
   *
   * @return one JSON object
   */
  public String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException("replay report cannot be serialized to JSON", impossible);
    }
  }

  /**
   * Formats the result as a human-readable table.
   *
   * @return table with one line for each row, and a summary line
   */
  public String toTable() {
    StringBuilder text = new StringBuilder();
    String head =
        "%-8s %-10s %6s %6s %6s %7s %9s %7s %7s %8s %8s %8s %8s %8s %6s %8s %6s %6s %10s%n";
    String line =
        "%-8s %-10s %6d %6d %6d %7d %9d %7.1f %7.1f %8.1f %8.1f %8.1f %8.1f %8.1f %6d %8d %6d %6d %10d%n";
    text.append(
        String.format(
            Locale.ROOT,
            head,
            "kind",
            "name",
            "sent",
            "refus",
            "fail",
            "preempt",
            "stall_ms",
            "gap95",
            "gap99",
            "gap999",
            "first50",
            "first95",
            "first99",
            "rare95",
            "good",
            "goodtok",
            "out",
            "return",
            "crossbytes"));
    for (Row row : rows) {
      text.append(
          String.format(
              Locale.ROOT,
              line,
              row.kind,
              row.name,
              row.requests,
              row.refused,
              row.failed,
              row.preemptions,
              row.stallMillis,
              row.gapP95,
              row.gapP99,
              row.gapP999,
              row.firstP50,
              row.firstP95,
              row.firstP99,
              row.rareP95,
              row.goodRequests,
              row.goodTokens,
              row.begunWhileOut,
              row.begunWhileReturning,
              row.crossRegionBytes));
    }
    text.append(
        String.format(
            Locale.ROOT, "received beyond cold limit: %d, crashes: %d%n", coldViolations, crashes));
    return text.toString();
  }
}
