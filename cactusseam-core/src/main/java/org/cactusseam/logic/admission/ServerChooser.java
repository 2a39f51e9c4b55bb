package org.cactusseam.logic.admission;

import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.cactusseam.logic.rollout.ShardRollout;
import org.cactusseam.model.ShardId;
import org.jspecify.annotations.Nullable;

/**
 * Picks a backend server for an attempt among the servers that can take it, by the configured
 * load-balancing policy.
 */
final class ServerChooser {

  /** Reason why no server was found for an attempt. */
  enum Obstacle {
    /** A server was found. */
    NONE,
    /** No server has capacity. */
    CAPACITY,
    /**
     * At least one server with capacity was excluded, because it failed an earlier attempt of the
     * request or the placement rule forbids it; the other servers have no capacity. Attempts of
     * other requests may still find a server.
     */
    EXCLUDED
  }

  /** Prompt tokens that common engines process in one step. */
  private static final double PROMPT_TOKENS_PER_STEP = 512;

  /**
   * Number of prompt tokens that lengthen a step of the engine model as much as one additional
   * stream.
   */
  private static final double PROMPT_TOKENS_PER_STREAM = 10;

  private final AdmissionSettings settings;
  private final ShardRollout rollout;
  private final List<ServerState> candidates = new ArrayList<>();
  private Obstacle obstacle = Obstacle.NONE;
  private double[] bounds = new double[ShardId.MAXIMUM_SERVERS];
  private double[] adjustments = new double[ShardId.MAXIMUM_SERVERS];
  private PlacementRule placementRule = PlacementRule.NONE;
  private int roundRobinIndex;

  ServerChooser(AdmissionSettings settings, ShardRollout rollout) {
    this.settings = settings;
    this.rollout = rollout;
  }

  void setPlacementRule(PlacementRule rule) {
    placementRule = rule;
  }

  /**
   * Returns why the last call of {@link #choose} found no server, or {@link Obstacle#NONE} if it
   * found one.
   */
  Obstacle obstacle() {
    return obstacle;
  }

  /**
   * Picks a server for an attempt.
   *
   * @param attempt attempt to place
   * @param servers all servers of the shard, in a fixed order
   * @param now time in milliseconds
   * @return the server, or null if none can take the attempt now
   */
  @Nullable ServerState choose(Attempt attempt, Collection<ServerState> servers, long now) {
    candidates.clear();
    boolean excluded = false;
    for (ServerState server : servers) {
      if (!server.hasCapacity(now)
          || !leavesMargin(attempt, server)
          || !rollout.hasCapacity(server.description().version(), now)) {
        continue;
      }
      boolean failedBefore = attempt.request.excluded().contains(server.description().name());
      if (failedBefore || !placementRule.allows(attempt.request.fingerprint(), running(server))) {
        excluded = true;
      } else {
        candidates.add(server);
      }
    }
    ServerState best =
        switch (settings.choice()) {
          case ROUND_ROBIN -> candidates.isEmpty() ? null : nextRoundRobin(servers);
          case LEAST_CONNECTIONS -> fewestOpen();
          case LEAST_REPORTED_LOAD -> leastReported();
          case EXPECTED_LOAD ->
              mayPreempt(attempt) ? shortestSteps(attempt, now) : leastExpected(attempt, now);
        };
    if (best != null) {
      obstacle = Obstacle.NONE;
    } else {
      obstacle = excluded ? Obstacle.EXCLUDED : Obstacle.CAPACITY;
    }
    return best;
  }

  private static Collection<String> running(ServerState server) {
    return Lists.transform(server.attempts, attempt -> attempt.request.fingerprint());
  }

  private boolean leavesMargin(Attempt attempt, ServerState server) {
    if (!attempt.mayWait || !settings.uses(AdmissionFeature.WAITING_YIELDS)) {
      return true;
    }
    return server.open() + 1 <= Math.max(1, server.limit() * (1 - settings.waitingMargin()));
  }

  private ServerState nextRoundRobin(Collection<ServerState> servers) {
    List<ServerState> all = List.copyOf(servers);
    while (true) {
      roundRobinIndex = (roundRobinIndex + 1) % all.size();
      if (candidates.contains(all.get(roundRobinIndex))) {
        return all.get(roundRobinIndex);
      }
    }
  }

  private @Nullable ServerState fewestOpen() {
    ServerState best = null;
    for (ServerState server : candidates) {
      if (best == null || server.open() < best.open()) {
        best = server;
      }
    }
    return best;
  }

  private @Nullable ServerState leastReported() {
    ServerState best = null;
    for (ServerState server : candidates) {
      if (best == null || server.reportedLoad() < best.reportedLoad()) {
        best = server;
      }
    }
    return best;
  }

  /**
   * Returns the server with the lowest cost. The cost without the attempt's own memory is a lower
   * bound that needs no new forecast, so the forecast with the attempt is computed for few servers
   * only (branch and bound).
   */
  private @Nullable ServerState leastExpected(Attempt attempt, long now) {
    int count = resizeCosts();
    if (count == 0) {
      return null;
    }
    for (int index = 0; index < count; index++) {
      ServerState server = candidates.get(index);
      adjustments[index] = prefillLoad(server, now) - prefixAffinity(attempt, server);
      bounds[index] = adjustments[index] + loadBound(attempt, server);
    }
    ServerState best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (int next = leastBound(count); bounds[next] < bestCost; next = leastBound(count)) {
      ServerState server = candidates.get(next);
      bounds[next] = Double.POSITIVE_INFINITY;
      double load = expectedLoad(attempt, server);
      boolean fits = load <= 1 || fitsWithPreemption(attempt, server);
      if (fits && load + adjustments[next] < bestCost) {
        best = server;
        bestCost = load + adjustments[next];
      }
    }
    return best;
  }

  private int leastBound(int count) {
    int least = 0;
    for (int index = 1; index < count; index++) {
      if (bounds[index] < bounds[least]) {
        least = index;
      }
    }
    return least;
  }

  /**
   * Returns the server with the shortest expected engine steps, which determine the time to first
   * token of an account that returns to its purchased share. The load matters less, because the
   * attempt may preempt streams of lower classes.
   */
  private @Nullable ServerState shortestSteps(Attempt attempt, long now) {
    int count = resizeCosts();
    for (int index = 0; index < count; index++) {
      ServerState server = candidates.get(index);
      double prompts = server.recentPromptTokens(now) + server.uncachedTokens(attempt);
      bounds[index] = PROMPT_TOKENS_PER_STREAM * server.open() + prompts;
    }
    for (int tried = 0; tried < count; tried++) {
      int next = leastBound(count);
      ServerState server = candidates.get(next);
      if (fitsWithPreemption(attempt, server) || expectedLoad(attempt, server) <= 1) {
        return server;
      }
      bounds[next] = Double.POSITIVE_INFINITY;
    }
    return null;
  }

  /**
   * Enlarges the arrays of costs to the number of candidates if needed, and returns that number.
   */
  private int resizeCosts() {
    int count = candidates.size();
    if (count > bounds.length) {
      bounds = new double[count];
      adjustments = new double[count];
    }
    return count;
  }

  /**
   * Returns whether an attempt may preempt streams of lower classes, by the share of its account as
   * of the last check of reservations.
   */
  boolean mayPreempt(Attempt attempt) {
    return attempt.withinShare
        && attempt.rank <= settings.preemptingRank()
        && settings.uses(AdmissionFeature.PURCHASED_SHARES);
  }

  /** Returns whether the attempt fits if the engine preempts streams of lower classes for it. */
  private boolean fitsWithPreemption(Attempt attempt, ServerState server) {
    return mayPreempt(attempt)
        && server.nonPreemptiblePeakWith(attempt.promptTokens, 0) <= server.memoryLimit();
  }

  /**
   * Returns the load including the attempt as a fraction of the capacity; above 1 if it does not
   * fit.
   */
  private double expectedLoad(Attempt attempt, ServerState server) {
    if (!limitsMemory(server)) {
      return slotLoad(server);
    }
    double peak = server.peakWith(attempt.promptTokens, attempt.expectedTotal());
    return Math.max(slotLoad(server), peak / memoryLimit(attempt, server));
  }

  /** Returns a lower bound of {@link #expectedLoad}. */
  private double loadBound(Attempt attempt, ServerState server) {
    if (!limitsMemory(server)) {
      return slotLoad(server);
    }
    return Math.max(slotLoad(server), server.peak() / memoryLimit(attempt, server));
  }

  private static double slotLoad(ServerState server) {
    return (server.open() + 1.0) / server.warmLimit();
  }

  private boolean limitsMemory(ServerState server) {
    return settings.uses(AdmissionFeature.MEMORY_ESTIMATE)
        && server.memoryLimit() > 0
        && server.open() > 0;
  }

  private double memoryLimit(Attempt attempt, ServerState server) {
    boolean marginApplies = attempt.mayWait && settings.uses(AdmissionFeature.WAITING_YIELDS);
    return server.memoryLimit() * (marginApplies ? 1 - settings.waitingMargin() : 1);
  }

  /** Returns the load of prompts in prefill, which delay the first token of the next prompt. */
  private double prefillLoad(ServerState server, long now) {
    return settings.prefillWeight() * server.recentPromptTokens(now) / PROMPT_TOKENS_PER_STEP;
  }

  private double prefixAffinity(Attempt attempt, ServerState server) {
    if (!settings.uses(AdmissionFeature.PREFIX_AFFINITY)
        || attempt.request.prefixHashes().isEmpty()) {
      return 0;
    }
    return settings.affinityWeight() * server.cache.match(attempt.request.prefixHashes());
  }
}
