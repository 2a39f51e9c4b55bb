package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries that this VM sends to the servers of one service within a sliding window. The
 * limit holds over all VMs; each one uses only its own share, so that they need not communicate.
 */
public final class SharedRetryBudget {

  /**
   * Fraction of the budget that is used. The rest covers clock differences between VMs and servers.
   */
  private static final double USED_FRACTION = 0.85;

  /**
   * Decision on one retry.
   *
   * @param isAllowed whether the retry may be sent
   * @param used retries of this VM within the window before this one
   * @param limit retries that this VM may send within the window
   * @param vms number of VMs that share the allowance
   */
  public record Decision(boolean isAllowed, int used, double limit, int vms) {}

  private final Duration window;
  private final double ratio;
  private final double allowance;
  private final Instant allowanceFrom;
  private final Deque<Instant> requests = new ArrayDeque<>();
  private final Deque<Instant> retries = new ArrayDeque<>();

  /**
   * Creates an unused budget. A VM that has started does not know what it used before, nor yet how
   * many VMs share the allowance. It uses none of the allowance until the retries of its former
   * process are outside of the window.
   *
   * @param window length of the sliding window
   * @param ratio retries per first request in the window
   * @param allowance additional retries in the window, shared by all VMs
   * @param startedAt start of the process
   */
  public SharedRetryBudget(Duration window, double ratio, double allowance, Instant startedAt) {
    this.window = window;
    this.ratio = ratio;
    this.allowance = allowance;
    this.allowanceFrom = startedAt.plus(window);
  }

  /** Counts a first (not retried) request. */
  public void request(Instant now) {
    requests.addLast(now);
    expire(requests, now);
  }

  /**
   * Consumes one retry if the budget allows it.
   *
   * @param vms number of VMs that share the allowance
   * @return whether the retry may be sent, and what decided it
   */
  public Decision tryRetry(int vms, Instant now) {
    expire(requests, now);
    expire(retries, now);
    double limit = USED_FRACTION * (ratio * requests.size() + allowanceShare(vms, now));
    Decision decision = new Decision(retries.size() + 1 <= limit, retries.size(), limit, vms);
    if (decision.isAllowed()) {
      retries.addLast(now);
    }
    return decision;
  }

  private double allowanceShare(int vms, Instant now) {
    return now.isBefore(allowanceFrom) ? 0 : allowance / Math.max(1, vms);
  }

  private void expire(Deque<Instant> times, Instant now) {
    Instant limit = now.minus(window);
    while (!times.isEmpty() && times.peekFirst().isBefore(limit)) {
      times.removeFirst();
    }
  }
}
