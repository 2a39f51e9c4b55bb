package org.cactusseam.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Clock;
import java.util.Arrays;

/**
 * Records when a simulated backend server received requests, so that tests can assert that none
 * arrived after the server was taken out of service. A simulated crash does not reset it.
 */
public final class ReceivedRequestCounter {

  private final Clock clock;
  private long[] receiptTimesMs = new long[1024];
  private int count;

  /**
   * Creates a counter without requests.
   *
   * @param clock supplies the time of receipt
   */
  public ReceivedRequestCounter(Clock clock) {
    this.clock = clock;
  }

  /** Records a request that is received now. */
  public void record() {
    if (count == receiptTimesMs.length) {
      receiptTimesMs = Arrays.copyOf(receiptTimesMs, 2 * count);
    }
    receiptTimesMs[count++] = clock.millis();
  }

  /**
   * Counts the requests received after an instant.
   *
   * @param afterMs instant, in milliseconds since the epoch
   * @return number of requests received later than the instant
   */
  public long countReceivedAfter(long afterMs) {
    return Arrays.stream(receiptTimesMs, 0, count).filter(time -> time > afterMs).count();
  }

  /**
   * Builds the response body of {@code GET /violations}.
   *
   * @param coldViolations number of requests that exceeded the cold-start limit
   * @param afterMs instant for {@code received_after}, in milliseconds since the epoch
   * @return JSON response body
   */
  public ObjectNode report(long coldViolations, long afterMs) {
    return Json.object()
        .put("cold_violations", coldViolations)
        .put("received", count)
        .put("after_ms", afterMs)
        .put("received_after", countReceivedAfter(afterMs));
  }
}
