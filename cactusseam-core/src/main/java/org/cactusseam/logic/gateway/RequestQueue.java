package org.cactusseam.logic.gateway;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Queue of requests that wait for a backend server, for the load pattern in which one client
 * account sends many times its usual amount, and for bursts that last longer than callers want to
 * wait.
 *
 * <p>Requests start by rank, so that purchased priority holds. Within a rank, those that can still
 * be answered within their target latency precede the others: in an overload that lasts, the order
 * of arrival would answer all of them late. The remaining order is start-time fair queueing between
 * client accounts: each request gets the virtual time at which its account would be served if all
 * accounts shared the servers equally.
 *
 * @param <T> type of the requests
 */
public final class RequestQueue<T> {

  private final Set<Entry<T>> entries = new LinkedHashSet<>();

  /** Virtual time at which the last request of each account ends. */
  private final Map<String, Double> accountEnds = new HashMap<>();

  private double virtualTime;
  private long nextNumber;

  /**
   * Requirements of a waiting request for its order.
   *
   * @param rank priority, 0 is the highest
   * @param account name of the client account; requests without one share an empty name
   * @param cost size of the request relative to the others of the queue, greater than 0
   * @param onTimeUntil time until which a start still meets the target latency
   */
  public record Claim(int rank, String account, double cost, Instant onTimeUntil) {}

  /**
   * Entry of one request in the queue.
   *
   * @param <T> type of the requests
   */
  public static final class Entry<T> {
    private final Claim claim;
    private final double virtualStart;
    private final long number;
    private final T request;
    private boolean isRemoved;

    private Entry(Claim claim, double virtualStart, long number, T request) {
      this.claim = claim;
      this.virtualStart = virtualStart;
      this.number = number;
      this.request = request;
    }

    private boolean isOverdue(Instant now) {
      return now.isAfter(claim.onTimeUntil());
    }
  }

  /** Adds a request. It starts with the next call of {@link #startWaiting} at the earliest. */
  public Entry<T> add(Claim claim, T request) {
    double virtualStart = Math.max(virtualTime, accountEnds.getOrDefault(claim.account(), 0.0));
    accountEnds.put(claim.account(), virtualStart + claim.cost());
    Entry<T> entry = new Entry<>(claim, virtualStart, nextNumber++, request);
    entries.add(entry);
    return entry;
  }

  /**
   * Removes a request, for example because its caller has disconnected.
   *
   * @param entry entry of the request
   */
  public void remove(Entry<T> entry) {
    entry.isRemoved = true;
    entries.remove(entry);
    forgetIdleAccounts();
  }

  /**
   * Tries to start every request in order, and removes those that no longer wait.
   *
   * <p>Starting a request may end others, and may queue the same one again if the start fails at
   * once. An entry is therefore not in the queue while its request starts: a nested call would
   * start it a second time. If {@code start} fails with an exception, the request has left the
   * queue, because it may have been sent.
   *
   * @param start tries to start a request; returns whether it leaves the queue
   */
  public void startWaiting(Instant now, Predicate<T> start) {
    for (Entry<T> entry : ordered(now)) {
      if (!entries.remove(entry)) {
        continue;
      }
      if (start.test(entry.request)) {
        virtualTime = Math.max(virtualTime, entry.virtualStart);
      } else if (!entry.isRemoved) {
        entries.add(entry);
      }
    }
    forgetIdleAccounts();
  }

  private List<Entry<T>> ordered(Instant now) {
    List<Entry<T>> ordered = new ArrayList<>(entries);
    ordered.sort(
        Comparator.comparingInt((Entry<T> entry) -> entry.claim.rank())
            .thenComparing(entry -> entry.isOverdue(now))
            .thenComparingDouble(entry -> entry.virtualStart)
            .thenComparingLong(entry -> entry.number));
    return ordered;
  }

  /** An account whose requests have all been served at the current virtual time owes nothing. */
  private void forgetIdleAccounts() {
    if (entries.isEmpty()) {
      accountEnds.clear();
      virtualTime = 0;
    }
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return entries.size();
  }
}
