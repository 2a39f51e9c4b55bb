package org.cactusseam.logic.replay;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * Clock that stands still until it is set, so that a replay or a test does not depend on the
 * machine.
 */
public final class PausedClock extends Clock {

  private long millis;

  /** Creates a clock at the epoch. */
  public PausedClock() {}

  /**
   * Creates a clock.
   *
   * @param start time at first, in whole milliseconds
   */
  public PausedClock(Instant start) {
    millis = start.toEpochMilli();
  }

  /**
   * Sets the time.
   *
   * @param newMillis milliseconds since the epoch, not before the current time
   */
  public void setMillis(long newMillis) {
    if (newMillis < millis) {
      throw new IllegalArgumentException("time must not go back from " + millis);
    }
    millis = newMillis;
  }

  /**
   * Lets time pass.
   *
   * @param milliseconds milliseconds, not negative
   */
  public void advance(long milliseconds) {
    setMillis(millis + milliseconds);
  }

  /**
   * Lets time pass.
   *
   * @param duration duration in whole milliseconds, not negative
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
    throw new UnsupportedOperationException("a paused clock has one zone");
  }
}
