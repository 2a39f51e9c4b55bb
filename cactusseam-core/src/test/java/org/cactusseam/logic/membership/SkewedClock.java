package org.cactusseam.logic.membership;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.function.LongSupplier;

/**
 * Monotonic clock of one simulated process with an origin and a rate of its own, as clocks of
 * different VMs have.
 */
final class SkewedClock extends Clock {

  private final LongSupplier simulatedMillis;
  private final long skewMillis;
  private final double rate;

  SkewedClock(LongSupplier simulatedMillis, long skewMillis, double rate) {
    this.simulatedMillis = simulatedMillis;
    this.skewMillis = skewMillis;
    this.rate = rate;
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(skewMillis + (long) (simulatedMillis.getAsLong() * rate));
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }
}
