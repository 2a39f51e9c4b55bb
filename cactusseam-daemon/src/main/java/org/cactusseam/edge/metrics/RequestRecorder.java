package org.cactusseam.edge.metrics;

import java.time.Duration;
import java.util.List;
import org.cactusseam.model.ResultCode;

/** Records the metrics of one request for its client account and its priority class. */
public final class RequestRecorder {

  private final List<RequestMetrics.Series> series;
  private final Duration stallThreshold;

  /**
   * Creates a recorder.
   *
   * @param series series of the account and of the class
   * @param stallThreshold minimum time between tokens that counts as a stall
   */
  RequestRecorder(List<RequestMetrics.Series> series, Duration stallThreshold) {
    this.series = List.copyOf(series);
    this.stallThreshold = stallThreshold;
  }

  /**
   * Records how long the request waited for a permit.
   *
   * @param time time from the arrival of the request to its permit or refusal
   */
  public void recordWait(Duration time) {
    series.forEach(each -> each.waiting().update(time));
  }

  /**
   * Records the time to first token.
   *
   * @param time time from the arrival of the request to its first token
   */
  public void recordFirstToken(Duration time) {
    series.forEach(each -> each.firstToken().update(time));
  }

  /**
   * Records the time between two tokens, and a stall if it reaches the threshold.
   *
   * @param sincePrevious time since the previous token
   */
  public void recordNextToken(Duration sincePrevious) {
    for (RequestMetrics.Series each : series) {
      each.betweenTokens().update(sincePrevious);
      if (sincePrevious.compareTo(stallThreshold) >= 0) {
        each.recordStall(sincePrevious);
      }
    }
  }

  /**
   * Records the end of a request.
   *
   * @param tokens number of tokens delivered
   */
  public void recordEnd(long tokens) {
    series.forEach(each -> each.recordEnd(tokens));
  }

  /**
   * Records a refusal.
   *
   * @param code result code of the refusal
   */
  public void recordRefusal(ResultCode code) {
    series.forEach(each -> each.recordRefusal(code));
  }

  /** Records that the engine preempted the request in favour of another one. */
  public void recordPreemption() {
    series.forEach(RequestMetrics.Series::recordPreemption);
  }
}
