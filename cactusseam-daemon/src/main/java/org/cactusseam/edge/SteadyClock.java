package org.cactusseam.edge;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * Clock that follows the monotonic time of the system from the wall-clock time at its creation.
 * Leases and deadlines must not change when the system time is set, so it never jumps or runs
 * backwards. Its zone is always UTC.
 */
public final class SteadyClock extends Clock {

  private final Instant start = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    throw new UnsupportedOperationException("SteadyClock supports only the zone UTC");
  }

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
