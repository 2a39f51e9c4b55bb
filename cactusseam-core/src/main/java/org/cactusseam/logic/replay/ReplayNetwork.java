package org.cactusseam.logic.replay;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cactusseam.logic.admission.RegionChoice;
import org.jspecify.annotations.Nullable;

/**
 * State that all requests of a replay share: event queue, statistics, shard owners and the
 * latencies between regions.
 */
final class ReplayNetwork {

  private static final int LOWEST_RANK = 9;

  private final EventQueue queue;
  private final ReplayStatistics statistics;
  private final Deployment deployment;
  private final List<SimulatedShardOwner> owners;
  private final Map<String, Integer> ranks;

  ReplayNetwork(
      EventQueue queue,
      ReplayStatistics statistics,
      Deployment deployment,
      List<SimulatedShardOwner> owners,
      Map<String, Integer> ranks) {
    this.queue = queue;
    this.statistics = statistics;
    this.deployment = deployment;
    this.owners = owners;
    this.ranks = ranks;
  }

  EventQueue queue() {
    return queue;
  }

  ReplayStatistics statistics() {
    return statistics;
  }

  /** Returns the rank of a priority class; unknown classes get the lowest rank. */
  int rank(String priorityClass) {
    return ranks.getOrDefault(priorityClass, LOWEST_RANK);
  }

  /** Returns the one-way latency between two regions, or between the domains of one region. */
  long latencyMicros(String from, String to) {
    return from.equals(to) ? deployment.domainLatencyMicros() : Deployment.REGION_LATENCY_MICROS;
  }

  /**
   * Chooses the shard owner for a permit request: the local one, unless the expected wait at
   * another is clearly shorter.
   *
   * @param region region of the entry daemon
   * @param rank rank of the priority class of the request
   * @param refusedBy regions whose shard has already refused the request
   * @return shard owner, or null if all have refused
   */
  @Nullable SimulatedShardOwner chooseOwner(String region, int rank, Set<String> refusedBy) {
    SimulatedShardOwner cheapest = null;
    double lowestCost = Double.POSITIVE_INFINITY;
    for (SimulatedShardOwner owner : owners) {
      if (refusedBy.contains(owner.region)) {
        continue;
      }
      double wait = owner.expectedWait(rank);
      double cost = RegionChoice.cost(wait, owner.region.equals(region));
      if (cost < lowestCost) {
        cheapest = owner;
        lowestCost = cost;
      }
    }
    if (cheapest != null) {
      cheapest.recordSent();
    }
    return cheapest;
  }
}
