package org.cactusseam.logic.rollout;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Ranks the VMs for an order (rendezvous hashing). The first one coordinates it. */
public final class CoordinatorRank {

  /** VMs that receive the evidence of all others. */
  public static final int CANDIDATES = 3;

  /** Time after which the next VM makes a decision that the store does not show. */
  public static final Duration TAKEOVER = Duration.ofSeconds(2);

  private CoordinatorRank() {}

  /**
   * Returns the VMs that may coordinate an order.
   *
   * @param vms names of all known VMs
   * @return first VMs of the ranking
   */
  public static List<String> candidates(String service, long orderId, Collection<String> vms) {
    return vms.stream()
        .distinct()
        .sorted(
            Comparator.comparingLong((String vm) -> hash(service, orderId, vm))
                .thenComparing(Comparator.naturalOrder()))
        .limit(CANDIDATES)
        .toList();
  }

  /**
   * Returns a pseudo-random number for a name.
   *
   * @return hash of service, order and name
   */
  public static long hash(String service, long orderId, String name) {
    return Hashing.murmur3_128()
        .hashString(service + "\n" + orderId + "\n" + name, StandardCharsets.UTF_8)
        .asLong();
  }

  /**
   * Returns how long a decision has to be due before a VM writes it.
   *
   * @param rank position among the candidates, 0 for the first
   * @return delay
   */
  public static Duration delay(int rank) {
    return TAKEOVER.multipliedBy(rank);
  }
}
