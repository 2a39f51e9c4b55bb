package org.cactusseam.logic.hedging;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusseam.model.gateway.ServerInstance;

/** The newest evidence of each server on whether its responses take longer than the threshold. */
final class ServerTimeliness {

  /** Time for which an observation counts. The pace of servers changes several times a second. */
  private static final Duration MEMORY = Duration.ofSeconds(3);

  /**
   * Number of slow servers from which the cause may be one that they share. One slow server says
   * nothing about others, which may have had no requests of this VM in a time of little load.
   */
  private static final int MIN_SLOW = 2;

  private final Map<String, Observation> newest = new HashMap<>();

  private record Observation(Instant at, boolean isSlow) {}

  void record(String serverId, boolean isSlow, Instant now) {
    // Removes the servers that have left as well.
    expire(now);
    newest.put(serverId, new Observation(now, isSlow));
  }

  /** Drops observations that no longer count. */
  void expire(Instant now) {
    Instant limit = now.minus(MEMORY);
    newest.values().removeIf(observation -> observation.at().isBefore(limit));
  }

  private boolean isSlow(ServerInstance server) {
    Observation observation = newest.get(server.id());
    return observation != null && observation.isSlow();
  }

  /**
   * Returns whether at least two and most of the observed servers are slow. Then the first server
   * is in no other state than the rest, and a second attempt only adds load.
   */
  boolean areMostSlow(Collection<ServerInstance> servers) {
    long observed = servers.stream().filter(server -> newest.containsKey(server.id())).count();
    long slow = servers.stream().filter(this::isSlow).count();
    return slow >= MIN_SLOW && 2 * slow > observed;
  }

  /**
   * Returns the servers that must not get a second attempt: those that are slow themselves, and all
   * of a failure domain in which at least two servers, and half of them, are slow.
   */
  Set<String> unsuitable(Collection<ServerInstance> servers) {
    Map<String, Long> sizes =
        servers.stream()
            .collect(Collectors.groupingBy(ServerInstance::failureDomain, Collectors.counting()));
    Map<String, Long> slow =
        servers.stream()
            .filter(this::isSlow)
            .collect(Collectors.groupingBy(ServerInstance::failureDomain, Collectors.counting()));
    Set<String> unsuitable = new HashSet<>();
    for (ServerInstance server : servers) {
      long slowOfDomain = slow.getOrDefault(server.failureDomain(), 0L);
      long sizeOfDomain = sizes.getOrDefault(server.failureDomain(), 0L);
      boolean isDomainSlow = slowOfDomain >= MIN_SLOW && 2 * slowOfDomain >= sizeOfDomain;
      if (isSlow(server) || isDomainSlow) {
        unsuitable.add(server.id());
      }
    }
    return unsuitable;
  }
}
