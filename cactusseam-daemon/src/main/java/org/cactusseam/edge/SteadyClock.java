package org.cactusseam.edge;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * Clock that never goes backwards or jumps: the system time at start plus the monotonic time since.
 * Leases and deadlines must not change when somebody sets the system time.
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
    throw new UnsupportedOperationException("the daemon uses UTC only");
  }

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
