package org.cactusseam.logic.replay;

/** Course of the load in a generated trace. */
public enum TraceShape {
  /** Half of what the servers bear. */
  CALM(0.5),
  /** A little more than the servers bear. */
  CROWDED(1.5),
  /** Medium load with short peaks of one account. */
  BURST(0.7);

  private final double load;

  TraceShape(double load) {
    this.load = load;
  }

  /**
   * Returns the load of the steady part.
   *
   * @return part of the servers' capacity
   */
  public double load() {
    return load;
  }
}
