package org.cactusseam.logic.gateway;

import java.util.Comparator;
import java.util.Iterator;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Queue of requests that wait for a backend server, ordered by rank and then by arrival.
 *
 * @param <T> type of the requests
 */
public final class RequestQueue<T> {

  private final TreeSet<Entry<T>> entries =
      new TreeSet<>(
          Comparator.comparingInt((Entry<T> entry) -> entry.rank)
              .thenComparingLong(entry -> entry.number));
  private long nextNumber;

  /**
   * Entry of one request in the queue.
   *
   * @param <T> type of the requests
   */
  public static final class Entry<T> {
    private final int rank;
    private final long number;
    private final T request;

    private Entry(int rank, long number, T request) {
      this.rank = rank;
      this.number = number;
      this.request = request;
    }
  }

  /**
   * Adds a request behind all requests of the same rank.
   *
   * @param rank priority, 0 is the highest
   */
  public Entry<T> add(int rank, T request) {
    Entry<T> entry = new Entry<>(rank, nextNumber++, request);
    entries.add(entry);
    return entry;
  }

  /**
   * Removes a request, for example because its caller has disconnected.
   *
   * @param entry entry of the request
   */
  public void remove(Entry<T> entry) {
    entries.remove(entry);
  }

  /**
   * Tries to start every request in order, and removes those that no longer wait.
   *
   * @param start tries to start a request; returns whether it leaves the queue
   */
  public void startWaiting(Predicate<T> start) {
    for (Iterator<Entry<T>> iterator = entries.iterator(); iterator.hasNext(); ) {
      if (start.test(iterator.next().request)) {
        iterator.remove();
      }
    }
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return entries.size();
  }
}
