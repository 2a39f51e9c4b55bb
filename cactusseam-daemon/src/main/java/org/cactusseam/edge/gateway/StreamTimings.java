package org.cactusseam.edge.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Times of the events of one stream, for the log: what makes a stream late. */
final class StreamTimings {

  private Optional<Instant> first = Optional.empty();
  private Optional<Instant> last = Optional.empty();
  private long longestGapMillis;
  private int eventAfterLongestGap;
  private int events;

  void delivered(Instant now) {
    events++;
    if (first.isEmpty()) {
      first = Optional.of(now);
    }
    last.map(before -> Duration.between(before, now).toMillis())
        .filter(gap -> gap > longestGapMillis)
        .ifPresent(
            gap -> {
              longestGapMillis = gap;
              eventAfterLongestGap = events;
            });
    last = Optional.of(now);
  }

  int events() {
    return events;
  }

  /** Returns milliseconds from the request to the first event, or -1 without an event. */
  long firstAfter(Instant receivedAt) {
    return first.map(at -> Duration.between(receivedAt, at).toMillis()).orElse(-1L);
  }

  /** Returns the longest time between two events, in milliseconds. */
  long longestGapMillis() {
    return longestGapMillis;
  }

  /** Returns the number of the event that ended the longest gap, counted from 1. */
  int eventAfterLongestGap() {
    return eventAfterLongestGap;
  }
}
