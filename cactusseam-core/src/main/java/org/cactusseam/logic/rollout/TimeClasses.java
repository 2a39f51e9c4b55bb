package org.cactusseam.logic.rollout;

import java.time.Duration;

/** Classes of response times, each a factor of 1.41 wide. */
public final class TimeClasses {

  /** Number of classes: from 1 ms to 46 s. */
  public static final int COUNT = 32;

  private static final double CLASSES_PER_DOUBLING = 2;

  private TimeClasses() {}

  /**
   * Returns the class of a time.
   *
   * @return index of the class, from 0
   */
  public static int of(Duration time) {
    double millis = Math.max(1, time.toNanos() / 1e6);
    int index = (int) (CLASSES_PER_DOUBLING * Math.log(millis) / Math.log(2));
    return Math.min(COUNT - 1, index);
  }
}
