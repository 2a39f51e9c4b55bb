package org.cactusseam.model.gateway;

import java.util.Comparator;

/**
 * Order that the writer of a record states itself. Unlike an offset, it survives the return of the
 * store from an older copy.
 *
 * @param process start of the writing process, in milliseconds since the Unix epoch; 0 if the order
 *     does not depend on it
 * @param number number of the record, which the process increases with each one
 */
public record Revision(long process, long number) implements Comparable<Revision> {

  private static final Comparator<Revision> BY_PROCESS_AND_NUMBER =
      Comparator.comparingLong(Revision::process).thenComparingLong(Revision::number);

  @Override
  public int compareTo(Revision other) {
    return BY_PROCESS_AND_NUMBER.compare(this, other);
  }
}
