package org.cactusseam.model.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * What a node knows of crashes and their causes. Nodes merge these values in any order and any
 * number of times and reach the same result.
 *
 * <p>Bounded: with fingerprints of 16 characters at most about 70 KB. Servers crash rarely, so a
 * ping carries the value only to a peer whose digest differs.
 *
 * @param crashes reports, newest first, at most {@value #MAXIMUM_CRASHES}
 * @param convictions requests that are refused, at most {@value #MAXIMUM_CONVICTIONS}
 */
public record Suspicions(List<CrashReport> crashes, List<Conviction> convictions) {

  /** Bound on the reports; older ones are forgotten first. */
  public static final int MAXIMUM_CRASHES = 16;

  /** Bound on the convictions; those that end first are forgotten first. */
  public static final int MAXIMUM_CONVICTIONS = 64;

  /** Knows nothing. */
  public static final Suspicions NONE = new Suspicions(List.of(), List.of());

  /** Joins repeated elements, orders them and keeps the newest. */
  public Suspicions {
    crashes = newest(crashes);
    convictions = longest(convictions);
  }

  private static List<CrashReport> newest(Collection<CrashReport> reports) {
    Map<CrashId, CrashReport> joined = new TreeMap<>();
    reports.forEach(report -> joined.merge(report.id(), report, CrashReport::merge));
    return joined.values().stream().limit(MAXIMUM_CRASHES).toList();
  }

  private static List<Conviction> longest(Collection<Conviction> all) {
    Map<String, Conviction> joined = new TreeMap<>();
    for (Conviction conviction : all) {
      joined.merge(
          conviction.fingerprint(),
          conviction,
          (left, right) -> left.untilMillis() >= right.untilMillis() ? left : right);
    }
    return joined.values().stream().sorted().limit(MAXIMUM_CONVICTIONS).toList();
  }

  /**
   * Joins two values.
   *
   * @param other other value
   * @return the join; merging is commutative, associative and idempotent
   */
  public Suspicions merge(Suspicions other) {
    return new Suspicions(
        Stream.concat(crashes.stream(), other.crashes.stream()).toList(),
        Stream.concat(convictions.stream(), other.convictions.stream()).toList());
  }

  /**
   * Returns the part that satisfies two conditions.
   *
   * @param keepCrash condition on the reports
   * @param keepConviction condition on the convictions
   * @return the part
   */
  public Suspicions filter(Predicate<CrashReport> keepCrash, Predicate<Conviction> keepConviction) {
    return new Suspicions(
        crashes.stream().filter(keepCrash).toList(),
        convictions.stream().filter(keepConviction).toList());
  }
}
