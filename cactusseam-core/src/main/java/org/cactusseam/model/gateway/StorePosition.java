package org.cactusseam.model.gateway;

import java.util.Comparator;

/**
 * Position of a record in a topic of the platform's store. A store that comes back from an older
 * copy assigns offsets again, so an offset orders records only within an era.
 *
 * @param era number of times that the store has come back from an older copy; 0 if it does not
 *     state it
 * @param offset offset in the topic
 */
public record StorePosition(long era, long offset) implements Comparable<StorePosition> {

  private static final Comparator<StorePosition> BY_ERA_AND_OFFSET =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::offset);

  @Override
  public int compareTo(StorePosition other) {
    return BY_ERA_AND_OFFSET.compare(this, other);
  }

  /**
   * Returns whether this position comes after another one.
   *
   * @param other position in the same topic
   * @return whether a record here was written after one there
   */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }
}
