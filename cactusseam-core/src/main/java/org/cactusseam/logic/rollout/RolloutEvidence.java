package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusseam.model.gateway.ServerInstance;

/** Responses that one VM has received since it read an order. */
public final class RolloutEvidence {

  private final Map<EvidenceKey, Counter> counters = new HashMap<>();

  private static final class Counter {
    private int successes;
    private int failures;
    private final List<Integer> times = new ArrayList<>(Collections.nCopies(TimeClasses.COUNT, 0));
  }

  /**
   * Returns the key under which a response is counted.
   *
   * @param isNew whether the server has the new version
   * @return key
   */
  public static EvidenceKey key(
      EvidenceKey.Measure measure, String route, boolean isNew, ServerInstance server) {
    return new EvidenceKey(measure, route, isNew, server.failureDomain(), isNew ? server.id() : "");
  }

  /** Counts a response that was no failure. */
  public void recordSuccess(EvidenceKey key) {
    counter(key).successes++;
  }

  /** Counts a failure. */
  public void recordFailure(EvidenceKey key) {
    counter(key).failures++;
  }

  /** Counts a measured time. */
  public void recordTime(EvidenceKey key, Duration time) {
    List<Integer> times = counter(key).times;
    int index = TimeClasses.of(time);
    times.set(index, times.get(index) + 1);
  }

  private Counter counter(EvidenceKey key) {
    return counters.computeIfAbsent(key, ignored -> new Counter());
  }

  /**
   * Returns all counts.
   *
   * @return counts since the order was read
   */
  public Map<EvidenceKey, ResponseCounts> counts() {
    Map<EvidenceKey, ResponseCounts> counts = new HashMap<>();
    counters.forEach(
        (key, counter) ->
            counts.put(
                key, new ResponseCounts(counter.successes, counter.failures, counter.times)));
    return counts;
  }
}
