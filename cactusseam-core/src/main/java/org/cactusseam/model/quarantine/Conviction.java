package org.cactusseam.model.quarantine;

import java.util.Comparator;

/**
 * A request that is refused because it crashed backend servers.
 *
 * @param fingerprint fingerprint of the request
 * @param untilMillis end of the refusal, in milliseconds since 1970
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
