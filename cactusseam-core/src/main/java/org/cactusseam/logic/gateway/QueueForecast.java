package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * Estimates how long requests wait in a queue, from the rate at which requests have left it for a
 * server during the last seconds. Only the time in which requests waited counts: the rate of an
 * empty queue is that of the arrivals and says nothing about the capacity.
 */
final class QueueForecast {

  /**
   * Time over which the rate is measured. Servers change their pace within a second or two; with 3
   * s, a rate measured in a slow phase lost more callers in the next fast phase.
   */
  private static final Duration WINDOW = Duration.ofSeconds(1);

  /**
   * Longest time between two records of a queue in which requests wait. It is several ticks of the
   * process; a longer gap means that the process was paused.
   */
  private static final Duration MAX_INTERVAL = Duration.ofMillis(250);

  /** Time for which requests must have waited within the window before the rate is known. */
  private static final Duration MIN_WAITING_TIME = Duration.ofMillis(500);

  /**
   * Ratio between the expected wait and the time left from which a request is refused early. The
   * rate varies, and requests ahead may leave without a start. With servers that are slow in waves,
   * a ratio of 2 lost up to 1.2 percent of the callers and 3 lost up to 0.8 percent.
   */
  private static final double MARGIN = 3;

  /** Time to retry when the rate is not known. Capacity becomes free within about 1 s. */
  static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(800);

  /**
   * Longest time to retry. Callers that are told more find a different load when they return; with
   * 4 s, more of them were lost than with 2 s.
   */
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(2);

  private static final double NANOS_PER_SECOND = 1_000_000_000;

  private final Deque<Interval> intervals = new ArrayDeque<>();
  private Instant recordedAt = Instant.MIN;
  private boolean waitedAtLastRecord;
  private Instant lastRetryAt = Instant.MIN;

  /** Time in which requests waited, with the number of requests that were started at its end. */
  private record Interval(Instant end, Duration length, int starts) {}

  /**
   * Records the state of the queue after requests were started, or could not be.
   *
   * @param starts number of requests that have left the queue for a server since the last call
   * @param waiting number of requests that wait now
   */
  void record(int starts, int waiting, Instant now) {
    if (waitedAtLastRecord && recordedAt.plus(MAX_INTERVAL).isBefore(now)) {
      intervals.clear();
    } else if (waitedAtLastRecord && now.isAfter(recordedAt)) {
      intervals.addLast(new Interval(now, Duration.between(recordedAt, now), starts));
    } else if (waitedAtLastRecord && starts > 0 && !intervals.isEmpty()) {
      Interval last = intervals.removeLast();
      intervals.addLast(new Interval(last.end(), last.length(), last.starts() + starts));
    }
    recordedAt = now;
    waitedAtLastRecord = waiting > 0;
    while (!intervals.isEmpty() && intervals.peekFirst().end().plus(WINDOW).isBefore(now)) {
      intervals.removeFirst();
    }
  }

  /**
   * Returns the rate at which requests start while others wait; empty if requests have not waited
   * for long enough within the last seconds. At least one start is assumed, so that a queue that
   * stands still has a finite wait.
   */
  OptionalDouble startsPerSecond() {
    Duration waitingTime = Duration.ZERO;
    int starts = 0;
    for (Interval interval : intervals) {
      waitingTime = waitingTime.plus(interval.length());
      starts += interval.starts();
    }
    return waitingTime.compareTo(MIN_WAITING_TIME) < 0
        ? OptionalDouble.empty()
        : OptionalDouble.of(Math.max(1, starts) * NANOS_PER_SECOND / waitingTime.toNanos());
  }

  /**
   * Returns whether a request cannot be expected to start in time.
   *
   * @param ahead number of waiting requests that start before it
   * @param timeLeft time within which it must start
   */
  static boolean isTooLate(int ahead, Duration timeLeft, double startsPerSecond) {
    return (ahead + 1) / startsPerSecond > MARGIN * timeLeft.toNanos() / NANOS_PER_SECOND;
  }

  /**
   * Returns when a caller that is refused now should retry. Refused callers get the times at which
   * a request can start after those that wait, one after the other, but none sooner than the
   * default.
   *
   * @param waiting number of requests that wait now
   */
  Duration takeRetryAfter(int waiting, Instant now) {
    OptionalDouble rate = startsPerSecond();
    if (rate.isEmpty()) {
      return DEFAULT_RETRY_AFTER;
    }
    Duration step = Duration.ofNanos((long) (NANOS_PER_SECOND / rate.getAsDouble()));
    Instant afterWaiting = now.plus(step.multipliedBy(waiting));
    Instant afterLast = lastRetryAt.equals(Instant.MIN) ? now : lastRetryAt.plus(step);
    Instant retryAt = afterLast.isAfter(afterWaiting) ? afterLast : afterWaiting;
    Instant latest = now.plus(MAX_RETRY_AFTER);
    lastRetryAt = retryAt.isAfter(latest) ? latest : retryAt;
    Duration retryAfter = Duration.between(now, lastRetryAt);
    return retryAfter.compareTo(DEFAULT_RETRY_AFTER) < 0 ? DEFAULT_RETRY_AFTER : retryAfter;
  }
}
