package org.cactusseam.logic.overload;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Assigns a return time to each caller that is rejected at one service, so that callers that are
 * rejected at the same moment do not return at the same moment.
 *
 * <p>Return times are spread evenly over the time in which the gateway expects to start the
 * requests that wait and those that were told to return, at the rate of the last starts.
 *
 * <p>Candidate for the gateway, compared by {@link ReturnReplay}. It is not used there, because a
 * constant later return serves as many callers (docs/design/overload.md).
 */
final class ReturnSchedule {

  /**
   * Shortest time until a return unless the caller has too little time left. A minimum of 500 ms
   * served 0.28 points fewer callers with a time limit of 4 s in slow waves than a constant 800 ms.
   */
  static final Duration MIN_RETURN = Duration.ofMillis(800);

  /** Longest time until a return. */
  static final Duration MAX_RETURN = Duration.ofMillis(2_500);

  /** Callers honour a return time up to this fraction of their remaining time. */
  private static final int MIN_REMAINING_PER_RETURN = 3;

  /**
   * Window over which starts are counted. Each of 126 gateways starts about one request a second,
   * so that a window of 1 s often contains none.
   */
  private static final Duration WINDOW = Duration.ofSeconds(5);

  /**
   * Fractional part of the golden ratio. Its multiples, without their whole parts, cover the
   * interval from 0 to 1 evenly for every number of them.
   */
  private static final double STEP = 0.618_033_988_749_894_9;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Instant createdAt;
  private final Queue<Instant> starts = new ArrayDeque<>();
  private final Queue<Instant> returns = new PriorityQueue<>();
  private double position;

  /**
   * An assigned return and the inputs of the decision.
   *
   * @param delay time until the return
   * @param spread time over which returns are spread, before the limits
   * @param waiting requests that wait
   * @param expected callers that were told to return and are not due yet
   * @param startsPerSecond measured rate of starts
   */
  record Assignment(
      Duration delay, Duration spread, int waiting, int expected, double startsPerSecond) {}

  /**
   * Creates a schedule without measured starts.
   *
   * @param createdAt time from which starts are measured
   * @param offset position of the first return in the interval, from 0 to 1; differs between
   *     gateways, so that equal loads do not lead to equal return times
   */
  ReturnSchedule(Instant createdAt, double offset) {
    this.createdAt = createdAt;
    this.position = offset;
  }

  /** Records that a request was sent to a server. */
  void recordStart(Instant now) {
    starts.add(now);
    discardOld(now);
  }

  /**
   * Assigns a return time to a caller that is rejected now.
   *
   * @param waiting number of requests that wait for a server
   * @param remaining remaining time of the caller
   */
  Assignment assign(int waiting, Duration remaining, Instant now) {
    discardOld(now);
    int expected = returns.size();
    double rate = startsPerSecond(now);
    Duration spread = spread(waiting + expected + 1, rate);
    Duration latest = spread.compareTo(MIN_RETURN) < 0 ? MIN_RETURN : min(spread, MAX_RETURN);
    Duration longest = min(latest, callerLimit(remaining));
    Duration shortest = min(MIN_RETURN, longest);
    position = (position + STEP) % 1;
    Duration delay = shortest.plusMillis((long) (position * longest.minus(shortest).toMillis()));
    returns.add(now.plus(delay));
    return new Assignment(delay, spread, waiting, expected, rate);
  }

  private double startsPerSecond(Instant now) {
    Duration age = Duration.between(createdAt, now);
    double seconds = Math.max(1, min(age, WINDOW).toMillis() / MILLIS_PER_SECOND);
    return starts.size() / seconds;
  }

  private static Duration spread(int requests, double rate) {
    return rate == 0 ? MAX_RETURN : Duration.ofMillis((long) (requests / rate * MILLIS_PER_SECOND));
  }

  private static Duration callerLimit(Duration remaining) {
    return remaining.isNegative() ? Duration.ZERO : remaining.dividedBy(MIN_REMAINING_PER_RETURN);
  }

  private void discardOld(Instant now) {
    Instant oldest = now.minus(WINDOW);
    while (!starts.isEmpty() && starts.element().isBefore(oldest)) {
      starts.remove();
    }
    while (!returns.isEmpty() && !returns.element().isAfter(now)) {
      returns.remove();
    }
  }

  private static Duration min(Duration left, Duration right) {
    return left.compareTo(right) < 0 ? left : right;
  }
}
