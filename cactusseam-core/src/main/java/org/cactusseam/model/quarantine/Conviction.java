package org.cactusseam.model.quarantine;

import java.util.Comparator;

/**
 * A request that is quarantined, that is, refused everywhere because it crashed backend servers.
 * The natural order puts the one whose quarantine ends last first.
 *
 * @param fingerprint fingerprint of the request
 * @param untilMillis end of the quarantine, in milliseconds since 1970
 */
public record Conviction(String fingerprint, long untilMillis) implements Comparable<Conviction> {

  private static final Comparator<Conviction> ORDER =
      Comparator.comparingLong(Conviction::untilMillis)
          .reversed()
          .thenComparing(Conviction::fingerprint);

  @Override
  public int compareTo(Conviction other) {
    return ORDER.compare(this, other);
  }
}
