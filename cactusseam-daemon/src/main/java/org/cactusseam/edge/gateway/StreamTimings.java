package org.cactusseam.edge.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Delivery times of the events of one stream. They are logged so that late streams can be
 * explained.
 */
final class StreamTimings {

  private Optional<Instant> first = Optional.empty();
  private Optional<Instant> last = Optional.empty();
  private long longestGapMillis;
  private int eventAfterLongestGap;
  private int eventCount;

  void recordDelivery(Instant now) {
    eventCount++;
    if (first.isEmpty()) {
      first = Optional.of(now);
    }
    last.map(before -> Duration.between(before, now).toMillis())
        .filter(gap -> gap > longestGapMillis)
        .ifPresent(
            gap -> {
              longestGapMillis = gap;
              eventAfterLongestGap = eventCount;
            });
    last = Optional.of(now);
  }

  int eventCount() {
    return eventCount;
  }

  /** Returns the milliseconds from the request to the first event, -1 if there is no event. */
  long millisToFirstEvent(Instant receivedAt) {
    return first.map(at -> Duration.between(receivedAt, at).toMillis()).orElse(-1L);
  }

  /** Returns the longest time between two successive events, in milliseconds. */
  long longestGapMillis() {
    return longestGapMillis;
  }

  /** Returns the number of the event that ended the longest gap, counted from 1. */
  int eventAfterLongestGap() {
    return eventAfterLongestGap;
  }
}
