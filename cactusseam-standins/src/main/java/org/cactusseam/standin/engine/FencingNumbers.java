package org.cactusseam.standin.engine;

/** The highest fencing number that an engine has seen in its incarnation. */
final class FencingNumbers {

  private long highest = Long.MIN_VALUE;

  /** Records a number. Returns whether it is stale, that is below the highest one. */
  boolean isStale(long number) {
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
