package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Requests that this VM may send to further servers of one service within a sliding window. The
 * bound holds over all VMs; each one takes its part, so that no exchange is needed.
 */
public final class SharedRetryBudget {

  /** Part of the budget that is used; the rest covers different clocks of VMs and servers. */
  private static final double USED_PART = 0.85;

  private final Duration window;
  private final double ratio;
  private final double allowance;
  private final Deque<Instant> requests = new ArrayDeque<>();
  private final Deque<Instant> retries = new ArrayDeque<>();

  /**
   * Creates a budget.
   *
   * @param window length of the window
   * @param ratio retries for each request in the window
   * @param allowance further retries in the window, over all VMs
   */
  public SharedRetryBudget(Duration window, double ratio, double allowance) {
    this.window = window;
    this.ratio = ratio;
    this.allowance = allowance;
  }

  /**
   * Counts a first request.
   *
   * @param now time
   */
  public void request(Instant now) {
    requests.addLast(now);
    expire(requests, now);
  }

  /**
   * Takes one retry if the budget allows it.
   *
   * @param vms number of VMs that share the allowance
   * @param now time
   * @return whether the retry may be sent
   */
  public boolean tryRetry(int vms, Instant now) {
    expire(requests, now);
    expire(retries, now);
    double allowed = USED_PART * (ratio * requests.size() + allowance / Math.max(1, vms));
    if (retries.size() + 1 > allowed) {
      return false;
    }
    retries.addLast(now);
    return true;
  }

  private void expire(Deque<Instant> times, Instant now) {
    Instant limit = now.minus(window);
    while (!times.isEmpty() && times.peekFirst().isBefore(limit)) {
      times.removeFirst();
    }
  }
}
