package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.message.ShardRolloutReport.ResponseTotals;

/**
 * Sequential test of the new version of one order against the old one, by the responses of all VMs.
 * Failures and slow responses are tested separately. The parameters are chosen by the error rates
 * in docs/CAPACITY.md.
 */
public final class VersionTest {

  /**
   * Sum of log likelihood ratios from which a version is bad: three failures in close succession
   * where failures are rare.
   */
  private static final double BAD = 7;

  /** Sum that must remain without the worst server: two failures of the others. */
  private static final double BAD_WITHOUT_WORST_SERVER = 4;

  /** Sum from which a route is suspect, and no good verdict is given. */
  private static final double SUSPECT = 4.5;

  /** Log likelihood ratio below which a version is good: 20 to 1. */
  private static final double GOOD = -3;

  /** Failures of a bad version beyond those of the old one, as a part of the other responses. */
  private static final double BAD_FAILURES = 0.2;

  /** Slow responses of a bad version beyond those of the old one. */
  private static final double BAD_SLOW = 0.4;

  /** Largest effect of one response, so that no single one decides. */
  private static final double MAX_RATIO = 2.5;

  private static final double MIN_RATE = 0.01;
  private static final double MAX_OLD_RATE = 0.9;
  private static final double MAX_RATE = 0.97;
  private static final String ALL_ROUTES = "all routes";

  private final OldVersionRates old = new OldVersionRates();
  private final Map<Scope, Cusum> sums = new HashMap<>();

  /** Times that came before enough of the old version's, by key. */
  private final Map<EvidenceKey, List<Integer>> pending = new HashMap<>();

  private final Map<Symptom, Double> totals = new HashMap<>();
  private Optional<Verdict> bad = Optional.empty();
  private ResponseTotals oldTotals = ResponseTotals.NONE;
  private ResponseTotals newTotals = ResponseTotals.NONE;

  /** Result of the test. */
  public enum Kind {
    /** The new version is no worse than the old one. */
    GOOD,
    /** The new version is worse. */
    BAD,
    /** There is too little evidence. */
    UNDECIDED
  }

  /**
   * Result of the test with its evidence.
   *
   * @param kind result
   * @param reason evidence, for operators
   */
  public record Verdict(Kind kind, String reason) {}

  private enum Symptom {
    FAILURES,
    SLOW
  }

  private record Scope(Symptom symptom, EvidenceKey.Measure measure, String route) {}

  /**
   * Adds responses that one VM has received.
   *
   * @param counts responses since its last report
   */
  public void add(Map<EvidenceKey, ResponseCounts> counts, Instant now) {
    counts.forEach(
        (key, each) -> {
          if (!key.isNew()) {
            oldTotals = oldTotals.plus(totals(key, each));
            old.add(key, each, now);
          }
        });
    counts.forEach(
        (key, each) -> {
          if (key.isNew()) {
            newTotals = newTotals.plus(totals(key, each));
            testFailures(key, each);
            testTimes(key, each);
          }
        });
  }

  /**
   * Counts responses. Slow ones of the new version are counted when their times are tested, because
   * its times may come before enough of the old version's.
   */
  private ResponseTotals totals(EvidenceKey key, ResponseCounts counts) {
    boolean isResponse = key.measure() == EvidenceKey.Measure.RESPONSE;
    int responses = isResponse ? counts.successes() + counts.failures() : 0;
    int slow = key.isNew() ? 0 : old.slow(key).map(limit -> slow(counts, limit)).orElse(0);
    return new ResponseTotals(responses, isResponse ? counts.failures() : 0, slow);
  }

  private static int slow(ResponseCounts counts, OldVersionRates.Slow limit) {
    List<Integer> times = counts.times();
    return times.subList(Math.min(limit.firstClass(), times.size()), times.size()).stream()
        .mapToInt(Integer::intValue)
        .sum();
  }

  /**
   * Returns the numbers of responses so far.
   *
   * @param isNew whether those of the new version are counted, or those of the old one
   * @return totals
   */
  public ResponseTotals totals(boolean isNew) {
    return isNew ? newTotals : oldTotals;
  }

  /**
   * Returns whether a response counts as slow by the recent times of the old version.
   *
   * @param time time that the response has taken at least
   * @return false also if there are too few times of the old version
   */
  boolean isSlow(EvidenceKey key, Duration time) {
    return old.slow(key).filter(limit -> TimeClasses.of(time) >= limit.firstClass()).isPresent();
  }

  private void testFailures(EvidenceKey key, ResponseCounts counts) {
    if (key.measure() != EvidenceKey.Measure.RESPONSE) {
      return;
    }
    double rate = Math.clamp(old.failureRate(key), MIN_RATE, MAX_OLD_RATE);
    double badRate = Math.min(MAX_RATE, rate + BAD_FAILURES * (1 - rate));
    add(Symptom.FAILURES, key, ratio(counts.failures(), counts.successes(), rate, badRate));
  }

  private void testTimes(EvidenceKey key, ResponseCounts counts) {
    Optional<OldVersionRates.Slow> limit = old.slow(key);
    List<Integer> times = sum(pending.getOrDefault(key, List.of()), counts.times());
    if (limit.isEmpty()) {
      pending.put(key, times);
      return;
    }
    pending.remove(key);
    int slow = 0;
    int others = 0;
    for (int index = 0; index < times.size(); index++) {
      if (index >= limit.get().firstClass()) {
        slow += times.get(index);
      } else {
        others += times.get(index);
      }
    }
    newTotals = newTotals.plus(new ResponseTotals(0, 0, slow));
    double rate = Math.clamp(limit.get().rate(), MIN_RATE, MAX_OLD_RATE);
    add(Symptom.SLOW, key, ratio(slow, others, rate, Math.min(MAX_RATE, rate + BAD_SLOW)));
  }

  private static List<Integer> sum(List<Integer> one, List<Integer> other) {
    List<Integer> sum = new ArrayList<>();
    for (int index = 0; index < Math.max(one.size(), other.size()); index++) {
      int first = index < one.size() ? one.get(index) : 0;
      sum.add(first + (index < other.size() ? other.get(index) : 0));
    }
    return sum;
  }

  private static double ratio(int bad, int others, double rate, double badRate) {
    return bad * Math.min(MAX_RATIO, Math.log(badRate / rate))
        + others * Math.log((1 - badRate) / (1 - rate));
  }

  private void add(Symptom symptom, EvidenceKey key, double ratio) {
    totals.merge(symptom, ratio, Double::sum);
    sum(new Scope(symptom, key.measure(), key.route())).add(key.server(), ratio);
    sum(new Scope(symptom, key.measure(), ALL_ROUTES)).add(key.server(), ratio);
  }

  private Cusum sum(Scope scope) {
    return sums.computeIfAbsent(scope, ignored -> new Cusum());
  }

  /**
   * Returns the result of the responses so far. A bad version stays bad: later responses, of which
   * there are few after the verdict, must not let the order complete.
   *
   * @param newServers number of listed servers of the new version; if there is only one, a fault of
   *     the server cannot be told from one of the version
   * @return result
   */
  public Verdict verdict(int newServers) {
    if (bad.isEmpty()) {
      Verdict latest = latestVerdict(newServers);
      bad = latest.kind() == Kind.BAD ? Optional.of(latest) : Optional.empty();
      return latest;
    }
    return bad.get();
  }

  private Verdict latestVerdict(int newServers) {
    for (Map.Entry<Scope, Cusum> entry : sums.entrySet()) {
      Cusum sum = entry.getValue();
      if (sum.total() >= BAD
          && (newServers <= 1 || sum.withoutWorstServer() >= BAD_WITHOUT_WORST_SERVER)) {
        Scope scope = entry.getKey();
        return new Verdict(
            Kind.BAD,
            scope.symptom().name().toLowerCase(Locale.ROOT)
                + " on "
                + scope.route()
                + ", "
                + text());
      }
    }
    boolean isSuspect = sums.values().stream().anyMatch(sum -> sum.total() >= SUSPECT);
    boolean isGood =
        !isSuspect
            && totals.getOrDefault(Symptom.FAILURES, 0.0) <= GOOD
            && totals.getOrDefault(Symptom.SLOW, 0.0) <= GOOD;
    return new Verdict(isGood ? Kind.GOOD : Kind.UNDECIDED, text());
  }

  private String text() {
    return newTotals.failures()
        + " failures and "
        + newTotals.slow()
        + " slow in "
        + newTotals.responses()
        + " responses";
  }
}
