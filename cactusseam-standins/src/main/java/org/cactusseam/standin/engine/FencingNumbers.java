package org.cactusseam.standin.engine;

/** Tracks the highest fencing number that the current incarnation of an engine has received. */
final class FencingNumbers {

  private long highest = Long.MIN_VALUE;

  /**
   * Records a number as the highest one unless it is lower. Returns whether it is stale, that is,
   * lower than the highest one.
   */
  boolean recordAndCheckStale(long number) {
    if (number < highest) {
      return true;
    }
    highest = number;
    return false;
  }

  boolean isRepeated(long number) {
    return number == highest;
  }

  void clear() {
    highest = Long.MIN_VALUE;
  }
}
