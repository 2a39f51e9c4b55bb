package org.cactusseam.logic.replay;

import org.HdrHistogram.Histogram;

/**
 * Collects the latencies and request counts of one client account, one priority class or a whole
 * run. The result has times in milliseconds.
 */
final class LatencyStatistics {

  /** Gap between two tokens above which a human reader perceives a stall. */
  static final long STALL_MICROS = 200_000;

  private static final long MAX_MICROS = 600_000_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram gaps = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram firstTokens = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram rareFirstTokens = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
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

  void recordRequest() {
    requests++;
  }

  void recordRefusal() {
    refused++;
  }

  void recordFailure() {
    failed++;
  }

  void recordPreemption() {
    preemptions++;
  }

  void recordGap(long micros) {
    gaps.recordValue(Math.clamp(micros, 0, MAX_MICROS));
    stallMicros += Math.max(0, micros - STALL_MICROS);
  }

  void recordFirstToken(long micros, boolean rare) {
    firstTokens.recordValue(Math.clamp(micros, 0, MAX_MICROS));
    if (rare) {
      rareFirstTokens.recordValue(Math.clamp(micros, 0, MAX_MICROS));
    }
  }

  void recordOnTimeStart(boolean whileOut, boolean whileReturning) {
    begunWhileOut += whileOut ? 1 : 0;
    begunWhileReturning += whileReturning ? 1 : 0;
  }

  void recordGoodRequest(int tokens) {
    inDeadline++;
    tokensInDeadline += tokens;
  }

  void addCrossRegionBytes(long bytes) {
    crossRegionBytes += bytes;
  }

  ReplayReport.Row toRow(String kind, String name) {
    return new ReplayReport.Row(
        kind,
        name,
        requests,
        refused,
        failed,
        preemptions,
        stallMicros / 1_000,
        percentileMillis(gaps, 95),
        percentileMillis(gaps, 99),
        percentileMillis(gaps, 99.9),
        percentileMillis(firstTokens, 50),
        percentileMillis(firstTokens, 95),
        percentileMillis(firstTokens, 99),
        percentileMillis(rareFirstTokens, 95),
        inDeadline,
        tokensInDeadline,
        begunWhileOut,
        begunWhileReturning,
        crossRegionBytes);
  }

  private static double percentileMillis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1_000.0;
  }
}
