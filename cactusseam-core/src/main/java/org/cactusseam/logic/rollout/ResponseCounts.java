package org.cactusseam.logic.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts of responses.
 *
 * @param successes responses that were not failures
 * @param failures failed responses
 * @param times number of responses in each {@link TimeClasses class} of times
 */
public record ResponseCounts(int successes, int failures, List<Integer> times) {

  /** No responses. */
  public static final ResponseCounts NONE = new ResponseCounts(0, 0, List.of());

  /** Copies the list. */
  public ResponseCounts {
    times = List.copyOf(times);
  }

  /**
   * Returns the responses that are not in an earlier count.
   *
   * @param earlier earlier count of the same responses
   * @return difference
   */
  public ResponseCounts minus(ResponseCounts earlier) {
    List<Integer> difference = new ArrayList<>();
    for (int index = 0; index < times.size(); index++) {
      int before = index < earlier.times.size() ? earlier.times.get(index) : 0;
      difference.add(Math.max(0, times.get(index) - before));
    }
    return new ResponseCounts(
        Math.max(0, successes - earlier.successes),
        Math.max(0, failures - earlier.failures),
        difference);
  }
}
