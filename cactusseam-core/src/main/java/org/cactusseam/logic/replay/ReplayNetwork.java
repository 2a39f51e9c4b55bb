package org.cactusseam.logic.replay;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cactusseam.logic.admission.RegionChoice;
import org.jspecify.annotations.Nullable;

/** Latencies, owners and meters that the requests of a replay share. */
final class ReplayNetwork {

  private static final int LOWEST_RANK = 9;

  private final EventQueue queue;
  private final ReplayStatistics meters;
  private final Deployment deployment;
  private final List<SimulatedShardOwner> owners;
  private final Map<String, Integer> ranks;

  ReplayNetwork(
      EventQueue queue,
      ReplayStatistics meters,
      Deployment deployment,
      List<SimulatedShardOwner> owners,
      Map<String, Integer> ranks) {
    this.queue = queue;
    this.meters = meters;
    this.deployment = deployment;
    this.owners = owners;
    this.ranks = ranks;
  }

  EventQueue queue() {
    return queue;
  }

  ReplayStatistics meters() {
    return meters;
  }

  int rank(String priorityClass) {
    return ranks.getOrDefault(priorityClass, LOWEST_RANK);
  }

  long delay(String from, String to) {
    return from.equals(to) ? deployment.domainLatencyMicros() : Deployment.REGION_LATENCY_MICROS;
  }

  /**
   * Chooses the shard to ask: the local one unless the wait at another is clearly shorter.
   *
   * @param region region of the entry daemon
   * @param rank rank of the request
   * @param refusedBy regions whose shard refused the request
   * @return owner, or null if all refused
   */
  @Nullable SimulatedShardOwner choose(String region, int rank, Set<String> refusedBy) {
    SimulatedShardOwner best = null;
    double bestWait = Double.POSITIVE_INFINITY;
    for (SimulatedShardOwner owner : owners) {
      if (refusedBy.contains(owner.region)) {
        continue;
      }
      double wait = owner.expectedWait(rank);
      double cost = RegionChoice.cost(wait, owner.region.equals(region));
      if (cost < bestWait) {
        best = owner;
        bestWait = cost;
      }
    }
    if (best != null) {
      best.sent();
    }
    return best;
  }
}
