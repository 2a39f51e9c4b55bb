package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Recent failures and times of the old version, by route and failure domain. The responses of the
 * new version are compared with them.
 */
final class OldVersionRates {

  /**
   * Half-life of the weight of a response. Short, so that a fault of both versions is attributed to
   * both; a service with 10 requests a second still has some 50 of them in it.
   */
  private static final Duration HALF_LIFE = Duration.ofSeconds(4);

  /** Weight of the assumed rate against that of the measured one, in responses. */
  private static final double PRIOR_RESPONSES = 10;

  /** Failure rate that is assumed without responses. */
  private static final double PRIOR_FAILURES = 0.01;

  /** Part of the responses that may count as slow. */
  private static final double SLOW_PART = 0.1;

  /** Part of the responses that is assumed to be slow without any. */
  private static final double PRIOR_SLOW = 0.05;

  /** Weight from which the times of the old version are compared with. */
  private static final double MIN_TIMES = 10;

  private final Map<Scope, Rates> rates = new HashMap<>();

  /** Scope of a rate; an empty domain stands for all. */
  private record Scope(EvidenceKey.Measure measure, String route, String failureDomain) {}

  /**
   * Times that count as slow.
   *
   * @param firstClass first class of slow times
   * @param rate part of the old version's responses that are slow
   */
  record Slow(int firstClass, double rate) {}

  private static final class Rates {
    private double successes;
    private double failures;
    private final double[] times = new double[TimeClasses.COUNT];
    private Instant updatedAt = Instant.EPOCH;

    private void add(ResponseCounts counts, Instant now) {
      long age = Math.max(0, Duration.between(updatedAt, now).toMillis());
      double factor = Math.pow(0.5, age / (double) HALF_LIFE.toMillis());
      updatedAt = now.isAfter(updatedAt) ? now : updatedAt;
      successes = successes * factor + counts.successes();
      failures = failures * factor + counts.failures();
      List<Integer> added = counts.times();
      for (int index = 0; index < times.length; index++) {
        times[index] = times[index] * factor + (index < added.size() ? added.get(index) : 0);
      }
    }

    private double failureRate(double assumed) {
      return (failures + PRIOR_RESPONSES * assumed) / (successes + failures + PRIOR_RESPONSES);
    }

    private Optional<Slow> slow() {
      double sum = 0;
      for (double count : times) {
        sum += count;
      }
      if (sum < MIN_TIMES) {
        return Optional.empty();
      }
      int first = times.length;
      double above = 0;
      while (first > 0 && above + times[first - 1] <= SLOW_PART * sum) {
        first--;
        above += times[first];
      }
      return Optional.of(
          new Slow(first, (above + PRIOR_RESPONSES * PRIOR_SLOW) / (sum + PRIOR_RESPONSES)));
    }
  }

  void add(EvidenceKey key, ResponseCounts counts, Instant now) {
    rates.computeIfAbsent(scope(key), ignored -> new Rates()).add(counts, now);
    rates.computeIfAbsent(routeScope(key), ignored -> new Rates()).add(counts, now);
  }

  double failureRate(EvidenceKey key) {
    double ofRoute = ratesOf(routeScope(key)).failureRate(PRIOR_FAILURES);
    return ratesOf(scope(key)).failureRate(ofRoute);
  }

  /** Returns what counts as slow, empty if the old version has too few responses. */
  Optional<Slow> slow(EvidenceKey key) {
    return ratesOf(scope(key)).slow().or(() -> ratesOf(routeScope(key)).slow());
  }

  private Rates ratesOf(Scope scope) {
    return rates.getOrDefault(scope, new Rates());
  }

  private static Scope scope(EvidenceKey key) {
    return new Scope(key.measure(), key.route(), key.failureDomain());
  }

  private static Scope routeScope(EvidenceKey key) {
    return new Scope(key.measure(), key.route(), "");
  }
}
