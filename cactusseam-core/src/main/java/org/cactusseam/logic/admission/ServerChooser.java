package org.cactusseam.logic.admission;

import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.cactusseam.model.ShardId;
import org.jspecify.annotations.Nullable;

/** Picks the backend server of an attempt among those that can take it. */
final class ServerChooser {

  /** Why an attempt was not placed. */
  enum Obstacle {
    /** A server was found. */
    NONE,
    /** No server has room. */
    CAPACITY,
    /**
     * A server with room failed an earlier attempt, or the placement rule forbids it; the others
     * have no room. The obstacle concerns this attempt alone.
     */
    EXCLUDED
  }

  /** Prompt tokens that common engines compute in one step. */
  private static final double STEP_PROMPT_TOKENS = 512;

  /** Prompt tokens that lengthen a step of the engine model as much as one more stream. */
  private static final double STREAM_PROMPT_TOKENS = 10;

  private final AdmissionSettings settings;
  private final List<ServerState> candidates = new ArrayList<>();
  private Obstacle obstacle = Obstacle.NONE;
  private double[] bounds = new double[ShardId.MAXIMUM_SERVERS];
  private double[] extras = new double[ShardId.MAXIMUM_SERVERS];
  private PlacementRule placement = PlacementRule.NONE;
  private int turn;

  ServerChooser(AdmissionSettings settings) {
    this.settings = settings;
  }

  void placement(PlacementRule rule) {
    placement = rule;
  }

  /** Returns why the last call of {@link #choose} found no server. */
  Obstacle obstacle() {
    return obstacle;
  }

  /**
   * Picks a server.
   *
   * @param attempt attempt
   * @param servers servers of the shard, in a fixed order
   * @param now time in milliseconds
   * @return server, or null if none can take the attempt now
   */
  @Nullable ServerState choose(Attempt attempt, Collection<ServerState> servers, long now) {
    candidates.clear();
    boolean excluded = false;
    for (ServerState server : servers) {
      if (!server.hasRoom(now) || !leavesMargin(attempt, server)) {
        continue;
      }
      boolean failedBefore = attempt.request.excluded().contains(server.description().name());
      if (failedBefore || !placement.allows(attempt.request.fingerprint(), running(server))) {
        excluded = true;
      } else {
        candidates.add(server);
      }
    }
    ServerState best =
        switch (settings.choice()) {
          case ROUND_ROBIN -> candidates.isEmpty() ? null : nextInTurn(servers);
          case LEAST_CONNECTIONS -> fewestOpen();
          case LEAST_REPORTED_LOAD -> leastReported();
          case EXPECTED_LOAD ->
              displaces(attempt) ? soonest(attempt, now) : leastExpected(attempt, now);
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

  private ServerState nextInTurn(Collection<ServerState> servers) {
    List<ServerState> all = List.copyOf(servers);
    while (true) {
      turn = (turn + 1) % all.size();
      if (candidates.contains(all.get(turn))) {
        return all.get(turn);
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
   * Returns the server with the least cost. Costs without the attempt's own memory are bounds from
   * below that need no forecast, so the forecasts of most servers are not read.
   */
  private @Nullable ServerState leastExpected(Attempt attempt, long now) {
    int count = prepare();
    if (count == 0) {
      return null;
    }
    for (int index = 0; index < count; index++) {
      ServerState server = candidates.get(index);
      extras[index] = prefill(server, now) - affinity(attempt, server);
      bounds[index] = extras[index] + loadBound(attempt, server);
    }
    ServerState best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (int next = leastBound(count); bounds[next] < bestCost; next = leastBound(count)) {
      ServerState server = candidates.get(next);
      bounds[next] = Double.POSITIVE_INFINITY;
      double load = expectedLoad(attempt, server);
      boolean fits = load <= 1 || fitsByDisplacing(attempt, server);
      if (fits && load + extras[next] < bestCost) {
        best = server;
        bestCost = load + extras[next];
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
   * Returns the server with the shortest expected steps, which the first token of an account that
   * returns to its share waits for. Load matters less for it, because it may displace others.
   */
  private @Nullable ServerState soonest(Attempt attempt, long now) {
    int count = prepare();
    for (int index = 0; index < count; index++) {
      ServerState server = candidates.get(index);
      double prompts = server.recentPromptTokens(now) + server.uncachedTokens(attempt);
      bounds[index] = STREAM_PROMPT_TOKENS * server.open() + prompts;
    }
    for (int tried = 0; tried < count; tried++) {
      int next = leastBound(count);
      ServerState server = candidates.get(next);
      if (fitsByDisplacing(attempt, server) || expectedLoad(attempt, server) <= 1) {
        return server;
      }
      bounds[next] = Double.POSITIVE_INFINITY;
    }
    return null;
  }

  /** Makes space for the costs of all candidates and returns their number. */
  private int prepare() {
    int count = candidates.size();
    if (count > bounds.length) {
      bounds = new double[count];
      extras = new double[count];
    }
    return count;
  }

  /** Tells whether an attempt may displace lower classes, as of the last look at its share. */
  boolean displaces(Attempt attempt) {
    return attempt.withinShare
        && attempt.rank <= settings.preemptingRank()
        && settings.uses(AdmissionFeature.PURCHASED_SHARES);
  }

  /** Tells whether the attempt fits if the engine preempts streams of lower classes for it. */
  private boolean fitsByDisplacing(Attempt attempt, ServerState server) {
    return displaces(attempt)
        && server.firmPeakWith(attempt.promptTokens, 0) <= server.memoryLimit();
  }

  /** Returns the load with the attempt as a part of the capacity; over 1 if it does not fit. */
  private double expectedLoad(Attempt attempt, ServerState server) {
    if (!limitsMemory(server)) {
      return slots(server);
    }
    double peak = server.peakWith(attempt.promptTokens, attempt.expectedTotal());
    return Math.max(slots(server), peak / memoryLimit(attempt, server));
  }

  private double loadBound(Attempt attempt, ServerState server) {
    if (!limitsMemory(server)) {
      return slots(server);
    }
    return Math.max(slots(server), server.peak() / memoryLimit(attempt, server));
  }

  private static double slots(ServerState server) {
    return (server.open() + 1.0) / server.warmLimit();
  }

  private boolean limitsMemory(ServerState server) {
    return settings.uses(AdmissionFeature.MEMORY_ESTIMATE)
        && server.memoryLimit() > 0
        && server.open() > 0;
  }

  private double memoryLimit(Attempt attempt, ServerState server) {
    boolean yields = attempt.mayWait && settings.uses(AdmissionFeature.WAITING_YIELDS);
    return server.memoryLimit() * (yields ? 1 - settings.waitingMargin() : 1);
  }

  /** Returns the load of prompts in computation, which delay the first token of the next one. */
  private double prefill(ServerState server, long now) {
    return settings.prefillWeight() * server.recentPromptTokens(now) / STEP_PROMPT_TOKENS;
  }

  private double affinity(Attempt attempt, ServerState server) {
    if (!settings.uses(AdmissionFeature.PREFIX_AFFINITY)
        || attempt.request.prefixHashes().isEmpty()) {
      return 0;
    }
    return settings.affinityWeight() * server.cache.match(attempt.request.prefixHashes());
  }
}
