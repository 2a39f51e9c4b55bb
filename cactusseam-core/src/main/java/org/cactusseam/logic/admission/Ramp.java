package org.cactusseam.logic.admission;

/**
 * Limit of a backend server that became warm. It starts at the cold limit and grows by a factor, at
 * most once per step time and only if the server was heard as warm since the last step.
 */
final class Ramp {

  private final double factor;
  private final long stepMillis;
  private double limit = 1;
  private long lastStep;

  Ramp(double factor, long stepMillis) {
    this.factor = factor;
    this.stepMillis = stepMillis;
  }

  /** Starts again at a limit. */
  void restart(int start, long now) {
    limit = start;
    lastStep = now;
  }

  /** Notes that the server was heard as warm. */
  void heardWarm(int warmLimit, long now) {
    if (now - lastStep >= stepMillis && limit < warmLimit) {
      limit = Math.min(warmLimit, Math.ceil(limit * factor));
      lastStep = now;
    }
  }

  int limit() {
    return (int) limit;
  }
}
