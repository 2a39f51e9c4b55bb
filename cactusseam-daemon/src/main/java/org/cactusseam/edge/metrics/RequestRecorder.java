package org.cactusseam.edge.metrics;

import java.time.Duration;
import java.util.List;
import org.cactusseam.model.ResultCode;

/** Measures one request for its client account and its priority class. */
public final class RequestRecorder {

  private final List<RequestMetrics.Series> series;
  private final Duration stall;

  /**
   * Creates a recorder.
   *
   * @param series series of the account and of the class
   * @param stall time between tokens from which on it counts as a stall
   */
  RequestRecorder(List<RequestMetrics.Series> series, Duration stall) {
    this.series = List.copyOf(series);
    this.stall = stall;
  }

  /**
   * Records the time that the request waited for a permit.
   *
   * @param time time from arrival to permit or refusal
   */
  public void waited(Duration time) {
    series.forEach(one -> one.waiting().update(time));
  }

  /**
   * Records the first token.
   *
   * @param time time from the arrival of the request
   */
  public void firstToken(Duration time) {
    series.forEach(one -> one.firstToken().update(time));
  }

  /**
   * Records a token after the first. A long time also counts as a stall.
   *
   * @param sincePrevious time since the previous token
   */
  public void nextToken(Duration sincePrevious) {
    for (RequestMetrics.Series one : series) {
      one.betweenTokens().update(sincePrevious);
      if (sincePrevious.compareTo(stall) >= 0) {
        one.stalled(sincePrevious);
      }
    }
  }

  /**
   * Records the end of a request.
   *
   * @param tokens tokens delivered
   */
  public void ended(long tokens) {
    series.forEach(one -> one.ended(tokens));
  }

  /**
   * Records a refusal.
   *
   * @param code its result code
   */
  public void refused(ResultCode code) {
    series.forEach(one -> one.refused(code));
  }

  /** Records that the engine interrupted the request in favour of another one. */
  public void preempted() {
    series.forEach(RequestMetrics.Series::preempted);
  }
}
