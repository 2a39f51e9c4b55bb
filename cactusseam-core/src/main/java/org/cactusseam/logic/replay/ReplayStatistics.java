package org.cactusseam.logic.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Statistics of a replay by client account, by priority class and in total. */
final class ReplayStatistics {

  /** Period after the return of a failure domain that is reported separately. */
  private static final long RETURN_PERIOD_MILLIS = 20_000;

  private final Map<String, LatencyStatistics> accounts = new TreeMap<>();
  private final Map<String, LatencyStatistics> classes = new TreeMap<>();
  private final LatencyStatistics total = new LatencyStatistics();
  private final long outMillis;
  private final long inMillis;

  /**
   * Creates the statistics of a run in which a failure domain is out of service from {@code
   * outMillis} to {@code inMillis}, relative to the start of the trace.
   */
  ReplayStatistics(long outMillis, long inMillis) {
    this.outMillis = outMillis;
    this.inMillis = inMillis;
  }

  /** Applies a measurement of a request to its account, its class and the total. */
  void record(TraceLine.Request request, Consumer<LatencyStatistics> measurement) {
    measurement.accept(
        accounts.computeIfAbsent(request.account(), name -> new LatencyStatistics()));
    measurement.accept(
        classes.computeIfAbsent(request.priorityClass(), name -> new LatencyStatistics()));
    measurement.accept(total);
  }

  /** Records the time to first token, and whether it was on time. */
  void recordFirstToken(TraceLine.Request request, long micros) {
    record(request, statistics -> statistics.recordFirstToken(micros, request.rare()));
    if (micros > request.beginMillis() * 1_000) {
      return;
    }
    long at = request.atMillis();
    boolean out = at >= outMillis && at < inMillis;
    boolean returning = at >= inMillis && at < inMillis + RETURN_PERIOD_MILLIS;
    record(request, statistics -> statistics.recordOnTimeStart(out, returning));
  }

  /** Returns one row for each account, then one for each class, then the total. */
  List<ReplayReport.Row> rows() {
    List<ReplayReport.Row> rows = new ArrayList<>();
    accounts.forEach((name, statistics) -> rows.add(statistics.toRow("account", name)));
    classes.forEach((name, statistics) -> rows.add(statistics.toRow("class", name)));
    rows.add(total.toRow("total", "all"));
    return rows;
  }
}
