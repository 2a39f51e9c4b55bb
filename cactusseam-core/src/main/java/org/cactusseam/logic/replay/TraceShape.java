package org.cactusseam.logic.replay;

/** Load over time in a generated trace. */
public enum TraceShape {
  /** Steady load at half the capacity of the servers. */
  CALM(0.5),
  /** Steady load at 1.5 times the nominal capacity of the servers. */
  CROWDED(1.5),
  /** Medium load with short peaks of the accounts that cause most of it. */
  BURST(0.7);

  private final double load;

  TraceShape(double load) {
    this.load = load;
  }

  /**
   * Returns the load outside of peaks.
   *
   * @return fraction of the nominal capacity of all servers
   */
  public double load() {
    return load;
  }
}
