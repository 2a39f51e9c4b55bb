package org.cactusseam.logic.admission;

/**
 * Slow start of a backend server that became warm. The limit of open attempts starts at the cold
 * limit and grows by a factor, at most once per step time and only if the server reported itself
 * warm since the last step.
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

  /** Restarts the ramp at a limit. */
  void restart(int start, long now) {
    limit = start;
    lastStep = now;
  }

  /**
   * Records that the server reported itself warm, and raises the limit if the step time has passed.
   */
  void recordWarm(int warmLimit, long now) {
    if (now - lastStep >= stepMillis && limit < warmLimit) {
      limit = Math.min(warmLimit, Math.ceil(limit * factor));
      lastStep = now;
    }
  }

  int limit() {
    return (int) limit;
  }
}
