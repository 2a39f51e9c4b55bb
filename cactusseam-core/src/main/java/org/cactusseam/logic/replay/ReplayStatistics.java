package org.cactusseam.logic.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The meters of a run by account, by class and in total. */
final class ReplayStatistics {

  private static final long RETURN_MILLIS = 20_000;

  private final Map<String, LatencyStatistics> accounts = new TreeMap<>();
  private final Map<String, LatencyStatistics> classes = new TreeMap<>();
  private final LatencyStatistics total = new LatencyStatistics();
  private final long outMillis;
  private final long inMillis;

  /** Creates meters for a run in which a failure domain is out between two times. */
  ReplayStatistics(long outMillis, long inMillis) {
    this.outMillis = outMillis;
    this.inMillis = inMillis;
  }

  void record(TraceLine.Request request, Consumer<LatencyStatistics> measurement) {
    measurement.accept(
        accounts.computeIfAbsent(request.account(), name -> new LatencyStatistics()));
    measurement.accept(
        classes.computeIfAbsent(request.priorityClass(), name -> new LatencyStatistics()));
    measurement.accept(total);
  }

  /** Notes the first token of an answer. */
  void begun(TraceLine.Request request, long micros) {
    record(request, meter -> meter.firstToken(micros, request.rare()));
    if (micros > request.beginMillis() * 1_000) {
      return;
    }
    long at = request.atMillis();
    boolean out = at >= outMillis && at < inMillis;
    boolean returning = at >= inMillis && at < inMillis + RETURN_MILLIS;
    record(request, meter -> meter.begun(out, returning));
  }

  List<ReplayReport.Row> rows() {
    List<ReplayReport.Row> rows = new ArrayList<>();
    accounts.forEach((name, meter) -> rows.add(meter.row("account", name)));
    classes.forEach((name, meter) -> rows.add(meter.row("class", name)));
    rows.add(total.row("total", "all"));
    return rows;
  }
}
