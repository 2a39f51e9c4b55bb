package org.cactusseam.model.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Replicated state of the quarantine: recent crash reports and the requests that are quarantined.
 * Daemons merge their states in any order and any number of times and reach the same result.
 *
 * <p>The size is bounded: with fingerprints of 16 characters it is at most about 70 KB for daemons,
 * whose reports do not tell what the server had started. Servers crash rarely, so pings carry only
 * a digest of the state, and the state itself is sent only to a peer whose digest differs.
 *
 * <p>Reports that tell what the server had started are the stronger evidence and have a limit of
 * their own. Servers that fail together, such as those of a failure domain, count once however many
 * they are, so only {@value #MAXIMUM_SIMULTANEOUS} of their reports are kept. Otherwise they would
 * displace the reports of all other crashes.
 *
 * @param crashes crash reports, the newest first: at most {@value #MAXIMUM_CRASHES} that do not
 *     tell what the server had started, and {@value #MAXIMUM_SIMULTANEOUS} for each of the last
 *     {@value #MAXIMUM_MOMENTS} moments that do
 * @param convictions quarantined requests, at most {@value #MAXIMUM_CONVICTIONS}
 */
public record Suspicions(List<CrashReport> crashes, List<Conviction> convictions) {

  /** Maximum number of crash reports; the oldest are dropped first. */
  public static final int MAXIMUM_CRASHES = 16;

  /** Maximum number of reports of one moment that tell what the server had started. */
  public static final int MAXIMUM_SIMULTANEOUS = 2;

  /** Maximum number of moments with such reports; the oldest are dropped first. */
  public static final int MAXIMUM_MOMENTS = 24;

  /** Duration of a moment. Servers that fail together are reported within some 50 ms. */
  private static final long MOMENT_MILLIS = 250;

  /**
   * Maximum number of quarantined requests; those whose quarantine ends first are dropped first.
   */
  public static final int MAXIMUM_CONVICTIONS = 64;

  /** State without crashes and without quarantined requests. */
  public static final Suspicions NONE = new Suspicions(List.of(), List.of());

  /** Merges repeated elements, sorts them and keeps the newest up to the maximum numbers. */
  public Suspicions {
    crashes = newest(crashes);
    convictions = longest(convictions);
  }

  private static List<CrashReport> newest(Collection<CrashReport> reports) {
    Map<CrashId, CrashReport> joined = new TreeMap<>();
    reports.forEach(report -> joined.merge(report.id(), report, CrashReport::merge));
    Stream<CrashReport> unstarted =
        joined.values().stream()
            .filter(report -> report.started().isEmpty())
            .limit(MAXIMUM_CRASHES);
    return Stream.concat(unstarted, newestOfEachMoment(joined.values()))
        .sorted(Comparator.comparing(CrashReport::id))
        .toList();
  }

  private static Stream<CrashReport> newestOfEachMoment(Collection<CrashReport> newestFirst) {
    Map<Long, List<CrashReport>> moments =
        newestFirst.stream()
            .filter(report -> !report.started().isEmpty())
            .collect(
                Collectors.groupingBy(
                    report -> Math.floorDiv(report.id().atMillis(), MOMENT_MILLIS),
                    LinkedHashMap::new,
                    Collectors.toList()));
    return moments.values().stream()
        .limit(MAXIMUM_MOMENTS)
        .flatMap(reports -> reports.stream().limit(MAXIMUM_SIMULTANEOUS));
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
   * Merges two states. Merging is commutative, associative and idempotent.
   *
   * @param other state of a peer
   */
  public Suspicions merge(Suspicions other) {
    return new Suspicions(
        Stream.concat(crashes.stream(), other.crashes.stream()).toList(),
        Stream.concat(convictions.stream(), other.convictions.stream()).toList());
  }

  /**
   * Returns the elements that another state does not have, or has in an earlier form.
   *
   * @param before earlier state
   */
  public Suspicions changesSince(Suspicions before) {
    return filter(
        report -> !before.crashes.contains(report),
        conviction -> !before.convictions.contains(conviction));
  }

  /**
   * Returns a copy with the elements that satisfy two conditions.
   *
   * @param keepCrash condition on the crash reports
   * @param keepConviction condition on the quarantined requests
   */
  public Suspicions filter(Predicate<CrashReport> keepCrash, Predicate<Conviction> keepConviction) {
    return new Suspicions(
        crashes.stream().filter(keepCrash).toList(),
        convictions.stream().filter(keepConviction).toList());
  }
}
