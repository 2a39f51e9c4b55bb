package org.cactusseam.logic.replay;

import org.HdrHistogram.Histogram;

/** Figures of one client account, class or run. Times are in milliseconds in the result. */
final class LatencyStatistics {

  /** Gap between two tokens from which a reader sees the stream stand still. */
  static final long STALL_MICROS = 200_000;

  private static final long LONGEST_MICROS = 600_000_000;
  private static final int DIGITS = 3;

  private final Histogram gaps = new Histogram(LONGEST_MICROS, DIGITS);
  private final Histogram first = new Histogram(LONGEST_MICROS, DIGITS);
  private final Histogram rareFirst = new Histogram(LONGEST_MICROS, DIGITS);
  private long requests;
  private long refused;
  private long failed;
  private long preemptions;
  private long stallMicros;
  private long inDeadline;
  private long tokensInDeadline;
  private long begunWhileOut;
  private long begunWhileReturning;
  private long crossRegionBytes;

  void request() {
    requests++;
  }

  void refused() {
    refused++;
  }

  void failed() {
    failed++;
  }

  void preempted() {
    preemptions++;
  }

  void gap(long micros) {
    gaps.recordValue(Math.clamp(micros, 0, LONGEST_MICROS));
    stallMicros += Math.max(0, micros - STALL_MICROS);
  }

  void firstToken(long micros, boolean rare) {
    first.recordValue(Math.clamp(micros, 0, LONGEST_MICROS));
    if (rare) {
      rareFirst.recordValue(Math.clamp(micros, 0, LONGEST_MICROS));
    }
  }

  void begun(boolean whileOut, boolean whileReturning) {
    begunWhileOut += whileOut ? 1 : 0;
    begunWhileReturning += whileReturning ? 1 : 0;
  }

  void inDeadline(int tokens) {
    inDeadline++;
    tokensInDeadline += tokens;
  }

  void crossRegion(long bytes) {
    crossRegionBytes += bytes;
  }

  ReplayReport.Row row(String kind, String name) {
    return new ReplayReport.Row(
        kind,
        name,
        requests,
        refused,
        failed,
        preemptions,
        stallMicros / 1_000,
        millis(gaps, 95),
        millis(gaps, 99),
        millis(gaps, 99.9),
        millis(first, 50),
        millis(first, 95),
        millis(first, 99),
        millis(rareFirst, 95),
        inDeadline,
        tokensInDeadline,
        begunWhileOut,
        begunWhileReturning,
        crossRegionBytes);
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1_000.0;
  }
}
