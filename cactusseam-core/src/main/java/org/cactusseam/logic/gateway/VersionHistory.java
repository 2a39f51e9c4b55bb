package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Versions of each service whose servers may have begun a stream that its caller can still take up.
 *
 * <p>While one version has been in service for long enough, every stream began there and nothing
 * has to be remembered of it. Only while there are several must the version of each stream be
 * recorded. A stream without a record then began before the second version came, or while it could
 * not be recorded, and both only at the oldest.
 */
public final class VersionHistory {

  private final Map<String, LinkedHashMap<String, Instant>> services = new HashMap<>();

  /**
   * Adds the versions of the listed servers, and drops those that have not been listed for a time.
   *
   * @param listed all listed servers
   * @param retention time for which a version is kept after its last server was listed
   * @return services whose versions have changed
   */
  public List<String> update(List<ServerInstance> listed, Duration retention, Instant now) {
    Map<String, List<String>> before = new HashMap<>();
    services.keySet().forEach(service -> before.put(service, versions(service)));
    listed.stream()
        .sorted(Comparator.comparingLong(ServerInstance::startedAtMillis))
        .forEach(
            server ->
                services
                    .computeIfAbsent(server.service(), name -> new LinkedHashMap<>())
                    .put(server.version(), now));
    services
        .values()
        .forEach(
            versions ->
                versions.values().removeIf(listedAt -> listedAt.plus(retention).isBefore(now)));
    return services.keySet().stream()
        .filter(service -> !versions(service).equals(before.getOrDefault(service, List.of())))
        .toList();
  }

  /**
   * Adds versions that an earlier process or another gateway has seen. Those that this gateway has
   * not seen are taken to be older.
   *
   * @param recorded versions, the oldest first
   */
  public void restore(String service, List<String> recorded, Instant now) {
    LinkedHashMap<String, Instant> known =
        services.computeIfAbsent(service, name -> new LinkedHashMap<>());
    LinkedHashMap<String, Instant> merged = new LinkedHashMap<>();
    recorded.forEach(version -> merged.put(version, known.getOrDefault(version, now)));
    known.forEach(merged::putIfAbsent);
    services.put(service, merged);
  }

  /**
   * Orders the versions of a service as another gateway has recorded them, if both know the same
   * ones. Gateways see versions come and go at different times.
   *
   * @param recorded versions, the oldest first
   * @return whether the order has changed
   */
  public boolean adoptOrder(String service, List<String> recorded) {
    List<String> known = versions(service);
    if (known.equals(recorded)
        || known.size() != recorded.size()
        || !Set.copyOf(known).equals(Set.copyOf(recorded))) {
      return false;
    }
    Map<String, Instant> listed = services.getOrDefault(service, new LinkedHashMap<>());
    LinkedHashMap<String, Instant> ordered = new LinkedHashMap<>();
    recorded.forEach(version -> ordered.put(version, Objects.requireNonNull(listed.get(version))));
    services.put(service, ordered);
    return true;
  }

  /** Returns the versions of a service, the oldest first. */
  public List<String> versions(String service) {
    return new ArrayList<>(services.getOrDefault(service, new LinkedHashMap<>()).keySet());
  }

  /**
   * Returns the only version at which a stream can have begun.
   *
   * @param window time for which a stream can be taken up after it began
   * @return version; empty if there are several or none
   */
  public Optional<String> onlyVersion(String service, Duration window, Instant now) {
    List<String> possible =
        services.getOrDefault(service, new LinkedHashMap<>()).entrySet().stream()
            .filter(version -> !version.getValue().plus(window).isBefore(now))
            .map(Map.Entry::getKey)
            .toList();
    return possible.size() == 1 ? Optional.of(possible.getFirst()) : Optional.empty();
  }

  /** Returns whether the version of each stream that begins must be recorded. */
  public boolean isMixed(String service) {
    return services.getOrDefault(service, new LinkedHashMap<>()).size() > 1;
  }
}
