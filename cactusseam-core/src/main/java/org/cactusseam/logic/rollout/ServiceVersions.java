package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.VersionFilter;

/**
 * Decides which versions of one service have traffic without an order. An order may be read later
 * than the entries of the servers that it names, so a new version is held back at first.
 */
public final class ServiceVersions {

  /**
   * Time after which a version without servers counts as new again. Longer than entries are missing
   * because of an outage of the store.
   */
  private static final Duration RETENTION = Duration.ofSeconds(60);

  private final Duration holdTime;
  private final Map<String, Instant> firstSeen = new HashMap<>();
  private final Map<String, Instant> lastSeen = new HashMap<>();
  private final Set<String> proven = new HashSet<>();
  private final Set<String> barred = new HashSet<>();
  private Set<String> listed = Set.of();
  private Optional<Instant> settledAt = Optional.empty();

  /**
   * Creates the versions of a service without servers.
   *
   * @param holdTime time for which a new version is held back
   */
  public ServiceVersions(Duration holdTime) {
    this.holdTime = holdTime;
  }

  /**
   * Updates the versions from the listed servers.
   *
   * @param servers all listed servers of the service
   */
  public void update(Collection<ServerInstance> servers, Instant now) {
    if (servers.isEmpty()) {
      return;
    }
    if (settledAt.isEmpty()) {
      settledAt = Optional.of(now.plus(holdTime));
    }
    listed = servers.stream().map(ServerInstance::version).collect(Collectors.toSet());
    listed.forEach(version -> firstSeen.putIfAbsent(version, now));
    listed.forEach(version -> lastSeen.put(version, now));
    forgetAbsent(now);
    if (!isSettled(now)) {
      // The entries arrive in any order, so the oldest server is found only with all of them.
      proven.clear();
    }
    firstSeen.forEach(
        (version, since) -> {
          if (isSettled(now) && !barred.contains(version) && !since.plus(holdTime).isAfter(now)) {
            proven.add(version);
          }
        });
    if (proven.stream().noneMatch(listed::contains)) {
      servers.stream()
          .filter(server -> !barred.contains(server.version()))
          .min(
              Comparator.comparingLong(ServerInstance::startedAtMillis)
                  .thenComparing(ServerInstance::id))
          .ifPresent(oldest -> proven.add(oldest.version()));
    }
  }

  private void forgetAbsent(Instant now) {
    Set<String> absent =
        lastSeen.entrySet().stream()
            .filter(seen -> seen.getValue().plus(RETENTION).isBefore(now))
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    lastSeen.keySet().removeAll(absent);
    firstSeen.keySet().removeAll(absent);
    proven.removeAll(absent);
    barred.removeAll(absent);
  }

  /**
   * Returns whether the servers have been known for long enough to tell old versions from new ones.
   *
   * @return whether the hold time has passed since the first server was listed
   */
  public boolean isSettled(Instant now) {
    return settledAt.filter(at -> !at.isAfter(now)).isPresent();
  }

  /**
   * Returns the versions that have the traffic.
   *
   * @return versions, empty without servers
   */
  public Set<String> proven() {
    return Set.copyOf(proven);
  }

  /**
   * Returns the versions that requests may use while the stage of an order is unknown that may be
   * older than this process.
   *
   * @param ordered version that the order names
   * @return other versions that are listed; the named one if there are still none after settling
   */
  public VersionFilter duringUnknownStage(String ordered, Instant now) {
    Set<String> others = new HashSet<>(listed);
    others.remove(ordered);
    others.removeAll(barred);
    boolean isOnlyVersion = listed.equals(Set.of(ordered));
    if (others.isEmpty() && (isSettled(now) || !isOnlyVersion)) {
      return withoutOrder();
    }
    return VersionFilter.only(others);
  }

  /**
   * Bars a version until an order to it completes.
   *
   * @param version version that is being tried out, has been reverted or was replaced
   */
  public void bar(String version) {
    barred.add(version);
    proven.remove(version);
  }

  /**
   * Gives the traffic to a version to which an order has completed.
   *
   * @param version version that has replaced others
   */
  public void complete(String version) {
    barred.remove(version);
    proven.add(version);
  }

  /**
   * Returns the versions that requests may use without an unfinished order.
   *
   * @return filter; a barred version is allowed if no other one is listed, because the service
   *     would otherwise have no servers
   */
  public VersionFilter withoutOrder() {
    return VersionFilter.only(
        proven.stream().noneMatch(listed::contains) && barred.containsAll(listed)
            ? listed
            : proven);
  }
}
