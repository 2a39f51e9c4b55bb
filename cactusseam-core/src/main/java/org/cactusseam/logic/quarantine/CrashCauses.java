package org.cactusseam.logic.quarantine;

import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.quarantine.Conviction;
import org.cactusseam.model.quarantine.CrashId;
import org.cactusseam.model.quarantine.CrashReport;

/**
 * Derives the causes of crashes from crash reports alone, so that daemons with the same reports
 * agree.
 *
 * <p>A request is taken as the cause if it is the only one that ran in each of several crashes and
 * has not ended normally since. While a single request causes all crashes, it is in every report
 * and is never cleared, so no other request can be the only common one, whatever the delay and the
 * order in which daemons exchange reports.
 *
 * <p>Requests with several fingerprints, such as those of the parts of a prompt, may share all of
 * them in each crash. The cause is then the combination of what they share. A normal end of a
 * request with one of these fingerprints, or a crash of a request without it, removes it from the
 * combination.
 *
 * <p>Two causes may always come with the same third part, for instance that of an account. That
 * part is then in more crashes than either cause. What else the requests had tells them apart: of
 * crashes that have other suspects in common only one counts, unless a request with these was
 * answered near any of the crashes. Crashes that no known cause explains count all, but more of
 * them are required, and the most specific cause is taken first.
 */
final class CrashCauses {

  /** Process run of a server that ended in a crash; several daemons can report it. */
  private record Run(BackendServerName server, String incarnation) {}

  private record Crash(
      Set<String> suspects,
      Set<String> started,
      boolean complete,
      long atMillis,
      long knownSinceMillis) {

    /** Returns what the server had started to answer or, if that is not known, all suspects. */
    Set<String> mainSuspects() {
      return started.isEmpty() ? suspects : started;
    }

    Crash join(Crash other) {
      return new Crash(
          Sets.union(suspects, other.suspects).immutableCopy(),
          Sets.union(started, other.started).immutableCopy(),
          complete && other.complete,
          Math.max(atMillis, other.atMillis),
          Math.min(knownSinceMillis, other.knownSinceMillis));
    }
  }

  private CrashCauses() {}

  /** All crashes with a fingerprint, and what they have in common. */
  private record Evidence(List<Crash> crashes, Set<String> common) {

    static Evidence of(String suspect, List<Crash> all) {
      List<Crash> with =
          all.stream()
              .filter(crash -> crash.mainSuspects().contains(suspect))
              .sorted(Comparator.comparingLong(Crash::knownSinceMillis))
              .toList();
      Set<String> common =
          with.stream().map(Crash::mainSuspects).reduce(Sets::intersection).orElse(Set.of());
      return new Evidence(with, Set.copyOf(common));
    }

    long lastMillis() {
      return crashes.stream().mapToLong(Crash::atMillis).max().orElse(0);
    }

    int countSeparately(Duration separation) {
      int count = 0;
      long counted = 0;
      for (Crash crash : crashes) {
        if (count == 0 || crash.knownSinceMillis - counted >= separation.toMillis()) {
          count++;
          counted = crash.knownSinceMillis;
        }
      }
      return count;
    }

    /**
     * Returns the evidence without crashes that have other suspects in common with earlier ones.
     *
     * @param answered fingerprints of requests that were answered near a crash
     */
    Evidence withoutRepeatedSuspects(Set<String> answered) {
      Set<String> seen = new HashSet<>();
      List<Crash> distinct = new ArrayList<>();
      for (Crash crash : crashes) {
        Set<String> others = Sets.difference(crash.mainSuspects(), Sets.union(common, answered));
        if (Sets.intersection(others, seen).isEmpty()) {
          seen.addAll(others);
          distinct.add(crash);
        }
      }
      return new Evidence(distinct, common);
    }
  }

  /**
   * Returns the causes, with the time of the last crash of each in milliseconds since 1970.
   *
   * @param reports crash reports
   * @param known causes that are quarantined
   * @param policy required evidence
   * @param knownSinceMillis returns when this VM learned of a crash, in milliseconds of its own
   *     clock; clocks of several VMs may differ by seconds
   * @return causes as {@link Conviction#fingerprint} states them
   */
  static Map<String, Long> causes(
      List<CrashReport> reports,
      List<Conviction> known,
      ConvictionPolicy policy,
      ToLongFunction<CrashId> knownSinceMillis) {
    List<Crash> crashes = crashes(reports, knownSinceMillis);
    Map<String, Long> last = new HashMap<>();
    if (policy.combined()) {
      Set<String> answered =
          reports.stream()
              .flatMap(report -> report.cleared().stream())
              .collect(Collectors.toUnmodifiableSet());
      List<Crash> started = crashes.stream().filter(crash -> !crash.started.isEmpty()).toList();
      known.forEach(each -> addLastCrash(each, crashes, last));
      addIndependentCauses(started, answered, policy, policy.crashes(), last);
      addIndependentCauses(crashes, answered, policy, policy.unstartedCrashes(), last);
      addRemainingCauses(started, answered, policy, policy.crashes(), last);
      addRemainingCauses(crashes, answered, policy, policy.unstartedCrashes(), last);
    } else {
      addSingleCauses(crashes, policy, last);
    }
    return last;
  }

  private static void addLastCrash(
      Conviction known, List<Crash> crashes, Map<String, Long> causes) {
    crashes.stream()
        .filter(crash -> crash.mainSuspects().containsAll(known.fingerprints()))
        .forEach(crash -> causes.merge(known.fingerprint(), crash.atMillis, Math::max));
  }

  private static void addSingleCauses(
      List<Crash> crashes, ConvictionPolicy policy, Map<String, Long> causes) {
    evidence(crashes)
        .filter(each -> each.common.size() == 1)
        .filter(each -> each.countSeparately(policy.separation()) >= policy.crashes())
        .forEach(each -> addCause(each, causes));
  }

  private static void addIndependentCauses(
      List<Crash> crashes,
      Set<String> answered,
      ConvictionPolicy policy,
      int required,
      Map<String, Long> causes) {
    evidence(crashes)
        .filter(
            each ->
                each.withoutRepeatedSuspects(answered).countSeparately(policy.separation())
                    >= required)
        .forEach(each -> addCause(each, causes));
  }

  private static void addRemainingCauses(
      List<Crash> crashes,
      Set<String> answered,
      ConvictionPolicy policy,
      int required,
      Map<String, Long> causes) {
    Comparator<Evidence> mostSpecific =
        Comparator.<Evidence, Boolean>comparing(each -> answered.containsAll(each.common))
            .thenComparing(each -> -each.common.size())
            .thenComparing(each -> Conviction.combine(each.common));
    Optional<Evidence> next;
    do {
      List<Set<String>> found =
          causes.keySet().stream().map(cause -> new Conviction(cause, 0).fingerprints()).toList();
      List<Crash> unexplained =
          crashes.stream()
              .filter(crash -> found.stream().noneMatch(crash.mainSuspects()::containsAll))
              .toList();
      next =
          evidence(unexplained)
              .filter(
                  each ->
                      each.countSeparately(policy.separation())
                          >= required + policy.additionalRepeatedCrashes())
              .min(mostSpecific);
      next.ifPresent(each -> addCause(each, causes));
    } while (next.isPresent());
  }

  private static void addCause(Evidence evidence, Map<String, Long> causes) {
    causes.merge(Conviction.combine(evidence.common), evidence.lastMillis(), Math::max);
  }

  private static Stream<Evidence> evidence(List<Crash> crashes) {
    return crashes.stream()
        .flatMap(crash -> crash.mainSuspects().stream())
        .distinct()
        .map(suspect -> Evidence.of(suspect, crashes));
  }

  private static List<Crash> crashes(
      List<CrashReport> reports, ToLongFunction<CrashId> knownSinceMillis) {
    Map<Run, Crash> joined = new LinkedHashMap<>();
    Map<Run, Set<String>> cleared = new HashMap<>();
    for (CrashReport report : reports) {
      Run run = new Run(report.id().server(), report.id().incarnation());
      Crash crash =
          new Crash(
              report.fingerprints(),
              report.started(),
              report.complete(),
              report.id().atMillis(),
              knownSinceMillis.applyAsLong(report.id()));
      joined.merge(run, crash, Crash::join);
      cleared.computeIfAbsent(run, any -> new HashSet<>()).addAll(report.cleared());
    }
    joined.replaceAll((run, crash) -> without(crash, cleared.getOrDefault(run, Set.of())));
    return joined.values().stream().filter(Crash::complete).toList();
  }

  private static Crash without(Crash crash, Set<String> cleared) {
    Set<String> suspects = Sets.difference(crash.suspects, cleared).immutableCopy();
    Set<String> started = Sets.difference(crash.started, cleared).immutableCopy();
    return new Crash(suspects, started, crash.complete, crash.atMillis, crash.knownSinceMillis);
  }

  /**
   * Returns the fingerprints of the requests that may have caused a crash whose cause is not known.
   */
  static Set<String> suspects(List<CrashReport> reports, List<Conviction> convictions) {
    return reports.stream()
        .filter(
            report ->
                convictions.stream()
                    .noneMatch(each -> report.fingerprints().containsAll(each.fingerprints())))
        .flatMap(report -> report.suspects().stream())
        .collect(Collectors.toSet());
  }
}
