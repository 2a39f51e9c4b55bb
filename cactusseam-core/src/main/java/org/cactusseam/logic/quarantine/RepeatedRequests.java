package org.cactusseam.logic.quarantine;

import com.google.common.collect.Sets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.quarantine.Conviction;
import org.cactusseam.model.quarantine.CrashId;
import org.cactusseam.model.quarantine.CrashReport;

/**
 * Finds requests that come again unchanged and crash a server each time.
 *
 * <p>Such a request is known by its own fingerprint, so nothing has to be inferred from what it has
 * in common with others: every crash that it met without an answer counts, also if its server had
 * begun to answer other requests, and if the same other requests were there before. A sound request
 * is protected by any answer, by the number of crashes that are required, and because some of these
 * must have no other suspect that met several.
 *
 * <p>Every gateway counts all reports that it has sent or received. Not thread-safe.
 */
public final class RepeatedRequests {

  /**
   * Crashes that a request must have met since its last answer. A caller that sends a sound request
   * again may meet three in a row while other requests crash servers. One less than the six at
   * which the request would reach servers three times after its third crash.
   */
  static final int REQUIRED_CRASHES = 5;

  /**
   * How many of them no other request explains. A sound request that is sent again and again while
   * others crash servers may meet any number of crashes, but each of them has a better explanation.
   */
  static final int OWN_CRASHES = 2;

  /** Crashes that are enough if {@link #CLEAR_OWN_CRASHES} of them have no other explanation. */
  static final int CLEAR_CRASHES = 4;

  static final int CLEAR_OWN_CRASHES = 3;

  /**
   * Time from the first of these crashes to the decision. By then, requests that crash servers each
   * time have met several crashes, which explain those of a sound request that came again quickly.
   * Arrivals count against the limit only this long after the third crash.
   */
  static final Duration OBSERVATION = Duration.ofSeconds(4);

  /**
   * Crashes since the last answer after which a request is sent only once for each attempt of its
   * caller. A crash of another cause alone does not cost a sound request its second run.
   */
  private static final int SUSPECTED_CRASHES = 2;

  /**
   * Maximum number of crashes that are kept; the oldest are dropped first. Covers 25 such requests
   * at the same time. A report has some twenty fingerprints of 40 bytes.
   */
  private static final int MAXIMUM_CRASHES = 128;

  private static final Duration SEPARATION = ConvictionPolicy.REQUEST_PARTS.separation();
  private static final Duration SETTLING = ConvictionPolicy.REQUEST_PARTS.settling();

  private final Clock clock;
  private final Predicate<String> isWholeRequest;
  private final Map<Run, Crash> crashes = new LinkedHashMap<>();
  private long nextEvaluationMillis = Long.MAX_VALUE;

  /** Process run of a server that ended in a crash; several gateways can report it. */
  private record Run(BackendServerName server, String incarnation) {}

  /** Reports of one crash, joined. */
  private record Crash(
      CrashId id, Set<String> fingerprints, Set<String> cleared, long knownSinceMillis) {

    Crash join(Crash later) {
      return new Crash(
          id,
          union(fingerprints, later.fingerprints),
          union(cleared, later.cleared),
          knownSinceMillis);
    }

    Crash clear(String fingerprint) {
      return new Crash(id, fingerprints, union(cleared, Set.of(fingerprint)), knownSinceMillis);
    }

    boolean isSuspect(String fingerprint) {
      return fingerprints.contains(fingerprint) && !cleared.contains(fingerprint);
    }

    boolean isExplainedBy(Conviction conviction) {
      return fingerprints.containsAll(conviction.fingerprints());
    }
  }

  /** A request that may be a cause, with its own crashes. */
  private record Candidate(String request, int met, List<Crash> crashes) {

    int count() {
      return countSeparately(crashes);
    }

    boolean isCause() {
      return (met >= CLEAR_CRASHES && count() >= CLEAR_OWN_CRASHES)
          || (met >= REQUIRED_CRASHES && count() >= OWN_CRASHES);
    }

    long lastMillis() {
      return crashes.stream().mapToLong(crash -> crash.id().atMillis()).max().orElse(0);
    }
  }

  /**
   * Creates a counter without crashes.
   *
   * @param clock time source
   * @param isWholeRequest whether a fingerprint is that of a whole request, not of a part
   */
  public RepeatedRequests(Clock clock, Predicate<String> isWholeRequest) {
    this.clock = clock;
    this.isWholeRequest = isWholeRequest;
  }

  private static Set<String> union(Set<String> one, Set<String> other) {
    return Sets.union(one, other).immutableCopy();
  }

  /** Adds a report of this gateway or of another one. */
  public void add(CrashReport report) {
    Run run = new Run(report.id().server(), report.id().incarnation());
    long now = clock.millis();
    crashes.merge(
        run,
        new Crash(report.id(), report.fingerprints(), report.cleared(), now),
        (known, added) -> known.join(added));
    nextEvaluationMillis = Math.min(nextEvaluationMillis, now + SETTLING.toMillis());
    dropOld();
  }

  private void dropOld() {
    long oldest = clock.millis() - QuarantineTable.RETENTION.toMillis();
    Iterator<Crash> all = crashes.values().iterator();
    while (all.hasNext()
        && (all.next().knownSinceMillis() < oldest || crashes.size() > MAXIMUM_CRASHES)) {
      all.remove();
    }
  }

  /**
   * Records that a request was answered, so that the crashes that it met before do not count.
   *
   * @param request fingerprint of the whole request
   * @return reports for the other gateways, of the crashes that no longer count
   */
  public List<CrashReport> recordAnswer(String request) {
    List<CrashReport> cleared = new ArrayList<>();
    crashes.replaceAll(
        (run, crash) -> {
          if (!crash.isSuspect(request)) {
            return crash;
          }
          Set<String> only = Set.of(request);
          cleared.add(new CrashReport(crash.id(), only, only, true));
          return crash.clear(request);
        });
    return cleared;
  }

  /**
   * Returns whether a request has met so many crashes that a second run is likely to crash another
   * server.
   *
   * @param fingerprints fingerprints of the request
   */
  public boolean isSuspected(Set<String> fingerprints) {
    return fingerprints.stream()
        .filter(isWholeRequest)
        .anyMatch(
            request ->
                crashes.values().stream().filter(crash -> crash.isSuspect(request)).count()
                    >= SUSPECTED_CRASHES);
  }

  /**
   * Returns the requests that have met enough crashes.
   *
   * @param known what is quarantined already
   * @return convictions that are not known yet
   */
  public List<Conviction> findCauses(Collection<Conviction> known) {
    long now = clock.millis();
    if (now < nextEvaluationMillis) {
      return List.of();
    }
    nextEvaluationMillis =
        crashes.values().stream()
            .map(Crash::knownSinceMillis)
            .flatMap(at -> Stream.of(at + SETTLING.toMillis(), at + OBSERVATION.toMillis()))
            .mapToLong(Long::longValue)
            .filter(dueAt -> dueAt > now)
            .min()
            .orElse(Long.MAX_VALUE);
    List<Conviction> found = new ArrayList<>();
    Optional<Candidate> next = mostFrequent(known, found, now);
    while (next.isPresent()) {
      found.add(
          new Conviction(
              next.get().request(),
              next.get().lastMillis() + QuarantineTable.RETENTION.toMillis()));
      next = mostFrequent(known, found, now);
    }
    return found;
  }

  private Optional<Candidate> mostFrequent(
      Collection<Conviction> known, Collection<Conviction> found, long now) {
    Map<String, List<Crash>> met = new HashMap<>();
    crashes.values().stream()
        .filter(crash -> crash.knownSinceMillis() + SETTLING.toMillis() <= now)
        .forEach(
            crash ->
                crash.fingerprints().stream()
                    .filter(isWholeRequest.and(crash::isSuspect))
                    .forEach(
                        request ->
                            met.computeIfAbsent(request, any -> new ArrayList<>()).add(crash)));
    long observedSince = now - OBSERVATION.toMillis();
    return met.entrySet().stream()
        .filter(each -> each.getValue().getFirst().knownSinceMillis() <= observedSince)
        .filter(each -> countSeparately(each.getValue()) >= CLEAR_CRASHES)
        .map(
            each ->
                new Candidate(
                    each.getKey(), countSeparately(each.getValue()), own(each, met, known, found)))
        .filter(Candidate::isCause)
        .max(Comparator.comparingInt(Candidate::count).thenComparing(Candidate::request));
  }

  /** Returns the crashes that neither a quarantined request nor another suspect explains. */
  private static List<Crash> own(
      Map.Entry<String, List<Crash>> request,
      Map<String, List<Crash>> met,
      Collection<Conviction> known,
      Collection<Conviction> found) {
    Set<String> others =
        met.entrySet().stream()
            .filter(each -> each.getValue().size() >= SUSPECTED_CRASHES)
            .map(Map.Entry::getKey)
            .filter(each -> !each.equals(request.getKey()))
            .collect(Collectors.toUnmodifiableSet());
    return request.getValue().stream()
        .filter(crash -> known.stream().noneMatch(crash::isExplainedBy))
        .filter(crash -> found.stream().noneMatch(crash::isExplainedBy))
        .filter(crash -> crash.fingerprints().stream().noneMatch(isSuspectOf(crash, others)))
        .toList();
  }

  private static Predicate<String> isSuspectOf(Crash crash, Set<String> among) {
    return fingerprint -> among.contains(fingerprint) && crash.isSuspect(fingerprint);
  }

  /** Counts crashes that become known together once, like servers that fail together. */
  private static int countSeparately(List<Crash> crashes) {
    int count = 0;
    long counted = 0;
    for (Crash crash : crashes) {
      if (count == 0 || crash.knownSinceMillis() - counted >= SEPARATION.toMillis()) {
        count++;
        counted = crash.knownSinceMillis();
      }
    }
    return count;
  }
}
