package org.cactusseam.logic.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Locale;

/**
 * Result of a replay.
 *
 * @param coldViolations requests that engines received beyond their cold limit
 * @param crashes crashes of engines
 * @param rows figures of each account, each class and in total
 */
public record ReplayReport(long coldViolations, long crashes, List<Row> rows) {

  private static final JsonMapper MAPPER =
      JsonMapper.builder().propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build();

  /** Copies the rows. */
  public ReplayReport {
    rows = List.copyOf(rows);
  }

  /**
   * Figures of an account, of a class or in total. Times are in milliseconds.
   *
   * @param kind {@code account}, {@code class} or {@code total}
   * @param name name
   * @param requests requests that callers sent
   * @param refused requests refused
   * @param failed requests whose answer broke
   * @param preemptions preemptions in engines
   * @param stallMillis sum of the parts of gaps between tokens over 200 ms
   * @param gapP95 95th percentile of the time between tokens
   * @param gapP99 99th percentile of the time between tokens
   * @param gapP999 99.9th percentile of the time between tokens
   * @param firstP50 median time to first token
   * @param firstP95 95th percentile of the time to first token
   * @param firstP99 99th percentile of the time to first token
   * @param rareP95 95th percentile of the time to first token in the rare priority burst
   * @param goodRequests requests that were answered whole before their deadline
   * @param goodTokens tokens of these answers
   * @param begunWhileOut requests that arrived while a failure domain was out and began in time
   * @param begunWhileReturning the same in the 20 s after its return
   * @param crossRegionBytes bytes of prompts and answers between regions
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
   * @return total
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
      throw new IllegalStateException("records of numbers and texts are always JSON", impossible);
    }
  }

  /**
   * Formats the result as a table for people.
   *
   * @return lines of text
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
