package org.cactusseam.logic.hedging;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import java.util.stream.Stream;

/** Running estimate of the response times of one route, over a sliding window. */
final class ResponseTimes {

  /**
   * Smallest number of samples from which a quantile is estimated. The 95th percentile of fewer
   * samples is their maximum.
   */
  static final int MIN_SAMPLES = 20;

  /** Bounds the memory of a busy route. The newest samples are kept. */
  private static final int MAX_SAMPLES = 512;

  /** Time for which sorted samples are reused, so that a busy route does not sort for each call. */
  private static final Duration SORT_INTERVAL = Duration.ofMillis(50);

  /**
   * Number of newest samples whose median is compared with the usual one. A change of all servers
   * is seen within this number of responses.
   */
  private static final int NEWEST_SAMPLES = 20;

  /** Factor over the usual median from which the route as a whole is slow. */
  private static final int SLOW_FACTOR = 2;

  /** Interval and number of the medians of which the lowest is the usual one: one minute. */
  private static final Duration MEDIAN_INTERVAL = Duration.ofSeconds(1);

  private static final int MAX_MEDIANS = 60;

  /** Number of newest attempts of which too many must not have exceeded the threshold. */
  private static final int NEWEST_OUTCOMES = 20;

  /**
   * Number of the newest outcomes that may be overdue. One is expected; two slow servers of twelve
   * give three or four. More show that most servers became slow at once.
   */
  private static final int MAX_OVERDUE = 7;

  private final Duration window;
  private final Deque<Sample> medians = new ArrayDeque<>();
  private final Deque<Boolean> overdueOutcomes = new ArrayDeque<>();
  private final Deque<Sample> samples = new ArrayDeque<>();
  private Duration[] sorted = {};
  private Instant sortedAt = Instant.MIN;

  private record Sample(Instant at, Duration time) {}

  ResponseTimes(Duration window) {
    this.window = window;
  }

  void add(Duration time, Instant now) {
    samples.addLast(new Sample(now, time));
    if (samples.size() > MAX_SAMPLES) {
      samples.removeFirst();
    }
  }

  /**
   * Records whether an attempt has ended in time, or has exceeded the threshold.
   *
   * @param isOverdue whether it has exceeded the threshold
   */
  void recordOutcome(boolean isOverdue) {
    overdueOutcomes.addLast(isOverdue);
    if (overdueOutcomes.size() > NEWEST_OUTCOMES) {
      overdueOutcomes.removeFirst();
    }
  }

  /**
   * Returns whether responses of the route take longer than usual in general. Then the threshold
   * has not followed yet, or the servers are overloaded, and second attempts only add load.
   */
  boolean isSlowerThanUsual() {
    long overdue = overdueOutcomes.stream().filter(isOverdue -> isOverdue).count();
    if (overdue > MAX_OVERDUE) {
      return true;
    }
    Duration[] newest = sortedTimes(samples.reversed().stream().limit(NEWEST_SAMPLES));
    return newest.length > 0
        && medians.stream()
            .map(Sample::time)
            .min(Comparator.naturalOrder())
            .filter(
                usual -> newest[newest.length / 2].compareTo(usual.multipliedBy(SLOW_FACTOR)) > 0)
            .isPresent();
  }

  private static Duration[] sortedTimes(Stream<Sample> samples) {
    return samples.map(Sample::time).sorted().toArray(Duration[]::new);
  }

  /**
   * Estimates a quantile.
   *
   * @param share share of the responses that take at most the returned time, from 0 to 1
   * @return quantile, or empty if the window has fewer than {@link #MIN_SAMPLES} samples
   */
  Optional<Duration> quantile(double share, Instant now) {
    if (sortedAt.equals(Instant.MIN) || !now.isBefore(sortedAt.plus(SORT_INTERVAL))) {
      sort(now);
    }
    if (sorted.length < MIN_SAMPLES) {
      return Optional.empty();
    }
    int index = (int) Math.ceil(share * sorted.length) - 1;
    return Optional.of(sorted[Math.clamp(index, 0, sorted.length - 1)]);
  }

  private void sort(Instant now) {
    Instant limit = now.minus(window);
    while (!samples.isEmpty() && samples.peekFirst().at().isBefore(limit)) {
      samples.removeFirst();
    }
    sorted = sortedTimes(samples.stream());
    sortedAt = now;
    recordMedian(now);
  }

  private void recordMedian(Instant now) {
    boolean isDue =
        medians.isEmpty() || !now.isBefore(medians.peekLast().at().plus(MEDIAN_INTERVAL));
    if (isDue && sorted.length >= MIN_SAMPLES) {
      medians.addLast(new Sample(now, sorted[sorted.length / 2]));
      if (medians.size() > MAX_MEDIANS) {
        medians.removeFirst();
      }
    }
  }
}
