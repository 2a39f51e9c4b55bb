package org.cactusseam.system;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Polls conditions on other processes, whose progress a test cannot control with a manual clock.
 */
final class Eventually {

  private static final Duration INTERVAL = Duration.ofMillis(50);

  private Eventually() {}

  static void await(String condition, Duration atMost, BooleanSupplier holds) {
    long deadline = System.nanoTime() + atMost.toNanos();
    while (!holds(holds)) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("condition not met within " + atMost + ": " + condition);
      }
      pause(INTERVAL);
    }
  }

  private static boolean holds(BooleanSupplier condition) {
    try {
      return condition.getAsBoolean();
    } catch (java.io.UncheckedIOException e) {
      return false;
    }
  }

  static void pause(Duration duration) {
    long deadline = System.nanoTime() + duration.toNanos();
    while (System.nanoTime() < deadline) {
      LockSupport.parkNanos(deadline - System.nanoTime());
    }
  }
}
