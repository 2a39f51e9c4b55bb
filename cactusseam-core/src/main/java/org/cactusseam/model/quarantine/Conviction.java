package org.cactusseam.model.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * A cause of crashes that is quarantined: requests that have it are refused everywhere because it
 * crashed backend servers. The natural order puts the one whose quarantine ends last first.
 *
 * @param fingerprint fingerprint of the request, or of the part of a request, that is the cause; if
 *     the cause is known only as a combination of several fingerprints, all of them, sorted and
 *     separated by commas
 * @param untilMillis end of the quarantine, in milliseconds since 1970
 */
public record Conviction(String fingerprint, long untilMillis) implements Comparable<Conviction> {

  private static final Comparator<Conviction> ORDER =
      Comparator.comparingLong(Conviction::untilMillis)
          .reversed()
          .thenComparing(Conviction::fingerprint);

  private static final String SEPARATOR = ",";

  /**
   * Returns the text that identifies a combination of fingerprints.
   *
   * @param fingerprints fingerprints without commas
   * @return the fingerprints, sorted and separated by commas
   */
  public static String combine(Collection<String> fingerprints) {
    return String.join(SEPARATOR, fingerprints.stream().sorted().toList());
  }

  /** Returns the fingerprints that a request must have to be refused. */
  public Set<String> fingerprints() {
    return Set.copyOf(List.of(fingerprint.split(SEPARATOR, -1)));
  }

  @Override
  public int compareTo(Conviction other) {
    return ORDER.compare(this, other);
  }
}
