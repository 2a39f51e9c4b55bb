package org.cactusseam.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Clock;
import java.util.Arrays;

/**
 * Counts the work that a backend server received, so that tests can assert that nothing arrived
 * after it was taken out of service. Crashes of the simulated server do not reset it.
 */
public final class ReceivedRequestCounter {

  private final Clock clock;
  private long[] times = new long[1024];
  private int count;

  /**
   * Creates a counter at 0.
   *
   * @param clock source of time
   */
  public ReceivedRequestCounter(Clock clock) {
    this.clock = clock;
  }

  /** Counts one request at the current time. */
  public void record() {
    if (count == times.length) {
      times = Arrays.copyOf(times, 2 * count);
    }
    times[count++] = clock.millis();
  }

  /**
   * Counts the requests received after an instant.
   *
   * @param afterMs instant, in milliseconds since the epoch
   * @return the number of requests
   */
  public long after(long afterMs) {
    return Arrays.stream(times, 0, count).filter(time -> time > afterMs).count();
  }

  /**
   * Writes the answer of {@code GET /violations}.
   *
   * @param coldViolations requests received beyond the limit while cold
   * @param afterMs instant for {@code received_after}, in milliseconds since the epoch
   * @return the answer
   */
  public ObjectNode report(long coldViolations, long afterMs) {
    return Json.object()
        .put("cold_violations", coldViolations)
        .put("received", count)
        .put("after_ms", afterMs)
        .put("received_after", after(afterMs));
  }
}
