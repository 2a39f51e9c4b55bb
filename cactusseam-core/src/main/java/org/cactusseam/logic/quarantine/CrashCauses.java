package org.cactusseam.logic.quarantine;

import com.google.common.collect.Sets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.quarantine.CrashReport;

/**
 * Derives the causes of crashes from crash reports alone, so that daemons with the same reports
 * agree.
 *
 * <p>A request is taken as the cause if it is the only one that ran in each of at least two crashes
 * and has not ended normally since. While a single request causes all crashes, it is in every
 * report and is never cleared, so no other request can be the only common one, whatever the delay
 * and the order in which daemons exchange reports.
 */
final class CrashCauses {

  private static final int CRASHES_FOR_CONVICTION = 2;

  /** Process run of a server that ended in a crash; several daemons can report it. */
  private record Run(BackendServerName server, String incarnation) {}

  private record Crash(Set<String> suspects, boolean complete, long atMillis) {

    Crash join(Crash other) {
      return new Crash(
          Sets.union(suspects, other.suspects).immutableCopy(),
          complete && other.complete,
          Math.max(atMillis, other.atMillis));
    }
  }

  private CrashCauses() {}

  /**
   * Returns the fingerprints of the causes, with the time of the last crash of each in milliseconds
   * since 1970.
   */
  static Map<String, Long> causes(List<CrashReport> reports) {
    Map<String, Set<String>> common = new HashMap<>();
    Map<String, Integer> counts = new HashMap<>();
    Map<String, Long> last = new HashMap<>();
    for (Crash crash : crashes(reports)) {
      for (String suspect : crash.suspects) {
        common.merge(
            suspect,
            crash.suspects,
            (left, right) -> Sets.intersection(left, right).immutableCopy());
        counts.merge(suspect, 1, Integer::sum);
        last.merge(suspect, crash.atMillis, Math::max);
      }
    }
    last.keySet()
        .removeIf(
            suspect ->
                counts.getOrDefault(suspect, 0) < CRASHES_FOR_CONVICTION
                    || !Set.of(suspect).equals(common.get(suspect)));
    return last;
  }

  private static Collection<Crash> crashes(List<CrashReport> reports) {
    Map<Run, Crash> joined = new HashMap<>();
    Map<Run, Set<String>> cleared = new HashMap<>();
    for (CrashReport report : reports) {
      Run run = new Run(report.id().server(), report.id().incarnation());
      Crash crash = new Crash(report.fingerprints(), report.complete(), report.id().atMillis());
      joined.merge(run, crash, Crash::join);
      cleared.computeIfAbsent(run, any -> new HashSet<>()).addAll(report.cleared());
    }
    joined.replaceAll((run, crash) -> without(crash, cleared.getOrDefault(run, Set.of())));
    return joined.values().stream().filter(Crash::complete).toList();
  }

  private static Crash without(Crash crash, Set<String> cleared) {
    Set<String> suspects = Sets.difference(crash.suspects, cleared).immutableCopy();
    return new Crash(suspects, crash.complete, crash.atMillis);
  }

  /**
   * Returns the fingerprints of the requests that may have caused a crash whose cause is not known.
   */
  static Set<String> suspects(List<CrashReport> reports, Set<String> convicted) {
    return reports.stream()
        .filter(report -> Sets.intersection(report.fingerprints(), convicted).isEmpty())
        .flatMap(report -> report.suspects().stream())
        .collect(Collectors.toSet());
  }
}
