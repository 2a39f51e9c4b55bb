package org.cactusseam.logic.replay;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * Clock that advances only when it is set, so that replays and tests do not depend on wall-clock
 * time.
 */
public final class PausedClock extends Clock {

  private long millis;

  /** Creates a clock that starts at the Unix epoch. */
  public PausedClock() {}

  /**
   * Creates a clock that starts at the given time.
   *
   * @param start initial time; fractions of a millisecond are dropped
   */
  public PausedClock(Instant start) {
    millis = start.toEpochMilli();
  }

  /**
   * Sets the current time.
   *
   * @param newMillis milliseconds since the Unix epoch, not before the current time of this clock
   */
  public void setMillis(long newMillis) {
    if (newMillis < millis) {
      throw new IllegalArgumentException("clock must not go back from " + millis);
    }
    millis = newMillis;
  }

  /**
   * Advances the clock.
   *
   * @param milliseconds number of milliseconds, not negative
   */
  public void advance(long milliseconds) {
    setMillis(millis + milliseconds);
  }

  /**
   * Advances the clock.
   *
   * @param duration time to advance, not negative; fractions of a millisecond are dropped
   */
  public void advance(Duration duration) {
    advance(duration.toMillis());
  }

  @Override
  public long millis() {
    return millis;
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis);
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    throw new UnsupportedOperationException("the zone of a paused clock is always UTC");
  }
}
