package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries that this VM sends to the servers of one service within a sliding window. The
 * limit holds over all VMs; each one uses only its own share, so that they need not communicate.
 *
 * <p>A retry is reserved when it is decided and counted when it is sent: it may wait for a server
 * for seconds, and retries that were decided in several windows may be sent in one.
 */
public final class SharedRetryBudget {

  /**
   * Fraction of the budget that is used. The rest covers clock differences between VMs and servers.
   */
  private static final double USED_FRACTION = 0.85;

  /**
   * Time for which a sent retry counts after the window. Retries that were sent at most this much
   * more than a window apart may arrive within one window: a connection takes up to 0.4 s.
   */
  private static final Duration ARRIVAL_DELAY = Duration.ofSeconds(1);

  private final Duration window;
  private final double ratio;
  private final double allowance;
  private final Instant allowanceFrom;
  private final Deque<Instant> requests = new ArrayDeque<>();
  private final Deque<Instant> sentRetries = new ArrayDeque<>();
  private int reservedRetries;

  /**
   * Decision on one retry.
   *
   * @param isAllowed whether the retry may be sent; if so, it is reserved
   * @param used retries of this VM within the window and reserved ones, without this one
   * @param limit retries that this VM may send within the window
   * @param vms number of VMs that share the allowance
   */
  public record Decision(boolean isAllowed, int used, double limit, int vms) {}

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
    this.allowanceFrom = startedAt.plus(window).plus(ARRIVAL_DELAY);
  }

  /** Counts a first (not retried) request. */
  public void request(Instant now) {
    requests.addLast(now);
    expire(requests, window, now);
  }

  /**
   * Reserves one retry if the budget allows it. The reservation is used by {@link #recordSent} or
   * given back by {@link #release}.
   *
   * @param vms number of VMs that share the allowance
   * @return whether the retry may be sent, and what decided it
   */
  public Decision tryReserve(int vms, Instant now) {
    return tryReserveFraction(1, vms, now);
  }

  /**
   * Reserves one retry if a part of the budget allows it. The rest stays for {@link #tryReserve}.
   *
   * @param fraction part of the budget that may be used, from 0 to 1
   * @param vms number of VMs that share the allowance
   * @return whether the retry may be sent, and what decided it
   */
  public Decision tryReserveFraction(double fraction, int vms, Instant now) {
    expire(requests, window, now);
    expire(sentRetries, window.plus(ARRIVAL_DELAY), now);
    double limit = fraction * USED_FRACTION * (ratio * requests.size() + allowanceShare(vms, now));
    int used = sentRetries.size() + reservedRetries;
    Decision decision = new Decision(used + 1 <= limit, used, limit, vms);
    if (decision.isAllowed()) {
      reservedRetries++;
    }
    return decision;
  }

  private double allowanceShare(int vms, Instant now) {
    return now.isBefore(allowanceFrom) ? 0 : allowance / Math.max(1, vms);
  }

  /** Counts a reserved retry that is sent now. */
  public void recordSent(Instant now) {
    release();
    sentRetries.addLast(now);
  }

  /** Gives back a reserved retry that will not be sent. */
  public void release() {
    if (reservedRetries == 0) {
      throw new IllegalStateException("no retry is reserved");
    }
    reservedRetries--;
  }

  private static void expire(Deque<Instant> times, Duration age, Instant now) {
    Instant limit = now.minus(age);
    while (!times.isEmpty() && times.peekFirst().isBefore(limit)) {
      times.removeFirst();
    }
  }
}
