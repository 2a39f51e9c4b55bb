package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.cactusseam.model.gateway.RolloutSettings;

/** Simulated responses of two versions over the canary stage, judged once a second. */
final class VersionSimulation {

  /** The canary stage of an order of 12 s. */
  private static final int SECONDS = 9;

  private static final double MEDIAN_MILLIS = 60;
  private static final double SIGMA = 0.5;
  private static final double OLD_FAILURES = 0.005;
  private static final List<String> DOMAINS = List.of("a", "b");
  private static final List<String> ROUTES = List.of("lookup", "booking", "search");
  private static final RolloutSettings SETTINGS =
      new RolloutSettings(0.1, 50, Duration.ofSeconds(5));

  private final Random random;
  private final Fault fault;
  private final int perSecond;

  /**
   * Fault of the new version.
   *
   * @param failures part of its responses that fail
   * @param slow part of its responses that take {@code factor} times as long
   * @param factor how much longer slow responses take
   * @param fromSecond second in which the fault starts
   * @param onOneRoute whether only one of the routes has the fault
   * @param onOneServer whether only one of the two servers has the fault
   * @param ofBothVersions whether the old version has it too, in one of the failure domains
   */
  record Fault(
      double failures,
      double slow,
      double factor,
      int fromSecond,
      boolean onOneRoute,
      boolean onOneServer,
      boolean ofBothVersions) {

    static final Fault NONE = new Fault(0, 0, 1, 0, false, false, false);
  }

  /**
   * Result of one roll-out.
   *
   * @param kind last verdict
   * @param badResponses bad responses of the new version until a bad verdict
   * @param sent requests that it received
   */
  record Result(VersionTest.Kind kind, int badResponses, long sent) {}

  VersionSimulation(long seed, Fault fault, int perSecond) {
    this.random = new Random(seed);
    this.fault = fault;
    this.perSecond = perSecond;
  }

  Result run() {
    VersionTest test = new VersionTest();
    ExposureLimit limit = new ExposureLimit(SETTINGS, true, 0.5);
    VersionTest.Verdict verdict = test.verdict(2);
    int bad = 0;
    for (int second = 0; second < SECONDS; second++) {
      RolloutEvidence evidence = new RolloutEvidence();
      for (int request = 0; request < perSecond; request++) {
        limit.recordRequest();
        boolean isNew = limit.hasCapacity(new ExposureLimit.Phase.Canary(second / 12.0), 1);
        if (isNew) {
          limit.recordSent();
        }
        bad += respond(evidence, isNew, second) ? 1 : 0;
      }
      test.add(evidence.counts(), Instant.EPOCH.plusSeconds(second));
      verdict = test.verdict(2);
      if (verdict.kind() == VersionTest.Kind.BAD) {
        break;
      }
    }
    return new Result(verdict.kind(), bad, limit.sent());
  }

  /** Returns whether the response was a bad one of the new version. */
  private boolean respond(RolloutEvidence evidence, boolean isNew, int second) {
    String route = ROUTES.get(random.nextInt(ROUTES.size()));
    String domain = DOMAINS.get(random.nextInt(DOMAINS.size()));
    EvidenceKey key =
        new EvidenceKey(
            EvidenceKey.Measure.RESPONSE, route, isNew, domain, isNew ? "s-" + domain : "");
    boolean isFaulty =
        (isNew || fault.ofBothVersions())
            && second >= fault.fromSecond()
            && (!fault.onOneRoute() || route.equals(ROUTES.getFirst()))
            && (!(fault.onOneServer() || fault.ofBothVersions())
                || domain.equals(DOMAINS.getFirst()));
    if (random.nextDouble() < OLD_FAILURES + (isFaulty ? fault.failures() : 0)) {
      evidence.recordFailure(key);
      return isNew;
    }
    boolean isSlow = isFaulty && random.nextDouble() < fault.slow();
    double millis =
        MEDIAN_MILLIS * Math.exp(SIGMA * random.nextGaussian()) * (isSlow ? fault.factor() : 1);
    evidence.recordSuccess(key);
    evidence.recordTime(key, Duration.ofNanos((long) (millis * 1e6)));
    return isNew && isSlow;
  }
}
