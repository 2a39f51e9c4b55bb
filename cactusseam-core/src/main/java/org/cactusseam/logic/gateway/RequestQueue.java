package org.cactusseam.logic.gateway;

import java.util.Comparator;
import java.util.Iterator;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests that wait for a backend server, in the order of their rank and then of their arrival.
 *
 * @param <T> request
 */
public final class RequestQueue<T> {

  private final TreeSet<Entry<T>> places =
      new TreeSet<>(
          Comparator.comparingInt((Entry<T> place) -> place.rank)
              .thenComparingLong(place -> place.number));
  private long nextNumber;

  /**
   * The place of one request.
   *
   * @param <T> request
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
   * Adds a request at the end of its rank.
   *
   * @param rank priority, 0 is the highest
   * @param request request
   * @return its place
   */
  public Entry<T> add(int rank, T request) {
    Entry<T> place = new Entry<>(rank, nextNumber++, request);
    places.add(place);
    return place;
  }

  /**
   * Takes a request out.
   *
   * @param place its place
   */
  public void remove(Entry<T> place) {
    places.remove(place);
  }

  /**
   * Offers the requests in order until none is left.
   *
   * @param start starts a request and returns whether it no longer waits
   */
  public void offer(Predicate<T> start) {
    for (Iterator<Entry<T>> iterator = places.iterator(); iterator.hasNext(); ) {
      if (start.test(iterator.next().request)) {
        iterator.remove();
      }
    }
  }

  /**
   * Returns how many requests wait.
   *
   * @return number of requests
   */
  public int size() {
    return places.size();
  }
}
