package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.gateway.RolloutSettings;
import org.cactusseam.model.message.ShardRolloutReport;

/**
 * Roll-out of a pool as the owner of one of its shards carries it out: which versions may serve,
 * how many requests the new version may receive, and the test of its responses. Without a roll-out
 * every version may serve.
 *
 * <p>Not thread-safe; used by the control thread only.
 */
public final class ShardRollout {

  /** Bounds for the whole pool, as in the deployments of the gateway. */
  private static final RolloutSettings BOUNDS = new RolloutSettings(0.1, 50, Duration.ofSeconds(5));

  /**
   * Interval at which responses are passed to the test. The error rates in docs/CAPACITY.md were
   * measured with results that arrive once a second.
   */
  private static final Duration TEST_INTERVAL = Duration.ofSeconds(1);

  /**
   * Time that a request without a response must exceed slow responses by. Owners learn of first
   * tokens once a second.
   */
  private static final Duration UNANSWERED_MARGIN = Duration.ofSeconds(2);

  private final ShardId shard;
  private Configuration configuration = Configuration.EMPTY;
  private boolean configured;
  private Optional<PoolRollout> rollout = Optional.empty();

  /** The roll-out while its stage is not final; kept, because each admission asks for it. */
  private Optional<PoolRollout> inProgress = Optional.empty();

  private int shards = 1;
  private int newServers;
  private Trial trial = new Trial(false);

  /** What the owner has sent and received since it read the command. */
  private static final class Trial {
    private final ExposureLimit exposure;
    private final VersionTest test = new VersionTest();
    private final RolloutEvidence evidence = new RolloutEvidence();
    private final Map<EvidenceKey, ResponseCounts> tested = new HashMap<>();
    private final Set<PermitRequestId> countedAsSlow = new HashSet<>();
    private Instant testedAt = Instant.MIN;
    private Optional<VersionTest.Verdict> reported = Optional.empty();
    private boolean bad;

    private Trial(boolean hasAllowance) {
      exposure = new ExposureLimit(BOUNDS, hasAllowance, 0);
    }
  }

  /**
   * Creates the state of a shard without a roll-out.
   *
   * @param shard shard of this owner
   */
  public ShardRollout(ShardId shard) {
    this.shard = shard;
  }

  /**
   * Sets the configuration. A roll-out that is in the first configuration may have been carried out
   * by an earlier owner, which may have used the allowance of the shard.
   *
   * @param next configuration in force
   */
  public void configure(Configuration next) {
    Optional<PoolRollout> latest = next.rollout(shard.pool());
    boolean isNewCommand = !latest.map(PoolRollout::order).equals(rollout.map(PoolRollout::order));
    if (isNewCommand) {
      trial = new Trial(configured);
    }
    if (latest.isPresent() && (isNewCommand || next != configuration)) {
      shards =
          (int)
              next.all(BackendServer.class).stream()
                  .filter(server -> server.pool().equals(shard.pool()))
                  .flatMap(server -> next.shardOf(server.name()).stream())
                  .distinct()
                  .count();
      newServers =
          (int)
              next.all(BackendServer.class).stream()
                  .filter(server -> next.shardOf(server.name()).equals(Optional.of(shard)))
                  .filter(server -> server.version().equals(latest.get().version()))
                  .filter(next::isInService)
                  .count();
    }
    rollout = latest;
    inProgress = latest.filter(current -> !PoolRolloutPlan.stage(current).isFinal());
    if (inProgress.isEmpty()) {
      trial.countedAsSlow.clear();
    }
    configuration = next;
    configured = true;
  }

  /**
   * Returns whether a version may receive requests at all, apart from the limit of the new one.
   *
   * @param version version of a server
   * @return whether its servers count as in service
   */
  public boolean permits(String version) {
    boolean isFoundBad =
        trial.bad && inProgress.filter(each -> each.version().equals(version)).isPresent();
    return rollout.map(each -> PoolRolloutPlan.mayServe(each, version)).orElse(true) && !isFoundBad;
  }

  /**
   * Returns whether the exposure limit permits one more request to a version.
   *
   * @param version version of a server that may serve
   * @param nowMillis present time in milliseconds since the Unix epoch
   * @return true for every version but the new one of a roll-out in progress
   */
  public boolean hasCapacity(String version, long nowMillis) {
    if (inProgress.isEmpty() || !inProgress.get().version().equals(version)) {
      return true;
    }
    return trial.exposure.hasCapacity(phase(inProgress.get(), nowMillis), shards);
  }

  private static ExposureLimit.Phase phase(PoolRollout current, long nowMillis) {
    double left = current.deadlineMillis() - nowMillis;
    if (PoolRolloutPlan.stage(current) instanceof RolloutStage.Canary) {
      double duration = Math.max(1, current.durationMillis());
      return new ExposureLimit.Phase.Canary(Math.clamp(1 - left / duration, 0, 1));
    }
    double reserve = RolloutPlan.reserve(Duration.ofMillis(current.durationMillis())).toMillis();
    return new ExposureLimit.Phase.Ramp(Math.clamp(1 - left / reserve, 0, 1));
  }

  /**
   * Counts an admitted request.
   *
   * @param version version of its server
   * @param isRetry whether an earlier attempt of the request was admitted, so that it does not
   *     raise the limit again
   */
  public void recordGrant(String version, boolean isRetry) {
    if (inProgress.isEmpty()) {
      return;
    }
    if (!isRetry) {
      trial.exposure.recordRequest();
    }
    if (inProgress.get().version().equals(version)) {
      trial.exposure.recordSent();
    }
  }

  /**
   * Records a response. Versions that are neither new nor replaced are no evidence.
   *
   * @param attempt attempt that was answered
   * @param name server that responded
   * @param route name of the route
   * @param failed whether the response was a failure
   * @param time time until the response was complete or its first token arrived
   */
  public void recordResponse(
      PermitRequestId attempt,
      BackendServerName name,
      String route,
      boolean failed,
      Duration time) {
    boolean isTimeCounted = trial.countedAsSlow.remove(attempt);
    evidenceKey(name, route)
        .ifPresent(
            key -> {
              if (failed) {
                trial.evidence.recordFailure(key);
                return;
              }
              trial.evidence.recordSuccess(key);
              if (!isTimeCounted) {
                trial.evidence.recordTime(key, time);
              }
            });
  }

  /**
   * Records that a request has no response yet. It counts as a slow response, once, when it has
   * taken much longer than the replaced versions take, so that a version that hangs is not found
   * good by its other responses.
   *
   * @param attempt attempt without a response
   * @param name server that it was sent to
   * @param route name of the route
   * @param age time since the request was admitted
   */
  public void recordUnanswered(
      PermitRequestId attempt, BackendServerName name, String route, Duration age) {
    if (age.compareTo(UNANSWERED_MARGIN) > 0 && !trial.countedAsSlow.contains(attempt)) {
      evidenceKey(name, route)
          .filter(key -> trial.test.isSlow(key, age.minus(UNANSWERED_MARGIN)))
          .ifPresent(
              key -> {
                trial.countedAsSlow.add(attempt);
                trial.evidence.recordTime(key, age);
              });
    }
  }

  private Optional<EvidenceKey> evidenceKey(BackendServerName name, String route) {
    Optional<BackendServer> found = configuration.server(name);
    if (found.isEmpty() || inProgress.isEmpty()) {
      return Optional.empty();
    }
    BackendServer server = found.get();
    boolean isNew = inProgress.get().version().equals(server.version());
    if (!isNew && !inProgress.get().replaced().contains(server.version())) {
      return Optional.empty();
    }
    return Optional.of(
        new EvidenceKey(
            EvidenceKey.Measure.RESPONSE,
            route,
            isNew,
            server.domain().value(),
            isNew ? server.name().value() : ""));
  }

  /** Returns whether a roll-out of the pool is in progress. */
  public boolean isInProgress() {
    return inProgress.isPresent();
  }

  /**
   * Takes over a bad verdict of the owner of another shard. From the next tick on, the new version
   * may not serve, before the log contains the revert.
   *
   * @param order log offset of the command that the verdict is for
   * @param verdict bad verdict
   */
  public void recordBadVerdict(long order, VersionTest.Verdict verdict) {
    if (trial.reported.isEmpty() && inProgress.filter(each -> each.order() == order).isPresent()) {
      trial.reported = Optional.of(verdict);
      trial.testedAt = Instant.MIN;
    }
  }

  private VersionTest.Verdict verdict() {
    return trial.reported.orElseGet(() -> trial.test.verdict(newServers));
  }

  /**
   * Tests the responses that have arrived since the last call, once a second.
   *
   * @return whether the new version is known to be bad since this call, so that it may not serve
   *     any more
   */
  public boolean tick(Instant now) {
    if (inProgress.isEmpty() || now.isBefore(trial.testedAt.plus(TEST_INTERVAL))) {
      return false;
    }
    trial.testedAt = now;
    Map<EvidenceKey, ResponseCounts> added = new HashMap<>();
    trial
        .evidence
        .counts()
        .forEach(
            (key, counts) -> {
              added.put(key, counts.minus(trial.tested.getOrDefault(key, ResponseCounts.NONE)));
              trial.tested.put(key, counts);
            });
    trial.test.add(added, now);
    boolean wasBad = trial.bad;
    trial.bad = verdict().kind() == VersionTest.Kind.BAD;
    return trial.bad && !wasBad;
  }

  /**
   * Returns what this owner knows about the roll-out in progress.
   *
   * @return report, empty without a roll-out in progress
   */
  public Optional<ShardRolloutReport> report() {
    return inProgress.map(
        current -> {
          VersionTest.Verdict verdict = verdict();
          return new ShardRolloutReport(
              shard,
              current.order(),
              ShardRolloutReport.Verdict.valueOf(verdict.kind().name()),
              verdict.reason(),
              trial.test.totals(false),
              trial.test.totals(true));
        });
  }
}
