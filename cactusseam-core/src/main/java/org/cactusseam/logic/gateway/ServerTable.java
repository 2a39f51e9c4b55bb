package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * The backend servers that may receive requests.
 *
 * <p>An entry that disappears while the platform's store is away may have lapsed although its
 * server lives. Such entries stay usable for {@link #LAPSE_GRACE} after the return of the store and
 * are dropped then. An entry that announced its leaving is dropped at once.
 */
public final class ServerTable {

  /** Entries of live servers are back within about 2 s of the store's return (users' request). */
  public static final Duration LAPSE_GRACE = Duration.ofMillis(2_200);

  /** A server that has just started is slow for some seconds (PROTOCOL page). */
  static final Duration WARM_UP = Duration.ofSeconds(2);

  private final Map<String, Entry> entries = new HashMap<>();
  private final Set<String> evacuated = new HashSet<>();
  private Instant graceUntil = Instant.MIN;

  private static final class Entry {
    private ServerInstance instance;
    private final Instant listedAt;
    private boolean absent;

    Entry(ServerInstance instance, Instant listedAt) {
      this.instance = instance;
      this.listedAt = listedAt;
    }
  }

  /**
   * Takes the description of a server.
   *
   * @param instance description
   * @param now time
   * @return whether the server is new or has started again
   */
  public boolean put(ServerInstance instance, Instant now) {
    Entry known = entries.get(instance.id());
    if (known == null || !known.instance.isSameProcess(instance)) {
      entries.put(instance.id(), new Entry(instance, now));
      return true;
    }
    known.instance = instance;
    known.absent = false;
    return false;
  }

  /**
   * Takes the disappearance of an entry.
   *
   * @param id server
   * @param now time
   * @return the server, if it is taken as gone; nothing if its entry may have lapsed
   */
  public Optional<ServerInstance> remove(String id, Instant now) {
    Entry entry = entries.get(id);
    if (entry == null) {
      return Optional.empty();
    }
    if (entry.instance.leaving() || !isGrace(now)) {
      entries.remove(id);
      return Optional.of(entry.instance);
    }
    entry.absent = true;
    return Optional.empty();
  }

  /**
   * Returns whether entries that are missing may have lapsed while the store was away.
   *
   * @param now time
   * @return whether the store has returned a short time ago
   */
  public boolean isGrace(Instant now) {
    return now.isBefore(graceUntil);
  }

  /**
   * The store answers again after it was away: entries that are missing now may have lapsed.
   *
   * @param now time
   */
  public void storeReturned(Instant now) {
    graceUntil = now.plus(LAPSE_GRACE);
  }

  /**
   * Drops entries that are still missing after the return of the store.
   *
   * @param now time
   * @return their servers, which are taken as gone
   */
  public List<ServerInstance> tick(Instant now) {
    if (isGrace(now)) {
      return List.of();
    }
    List<ServerInstance> gone =
        entries.values().stream()
            .filter(entry -> entry.absent)
            .map(entry -> entry.instance)
            .toList();
    gone.forEach(instance -> entries.remove(instance.id()));
    return gone;
  }

  /**
   * Takes a failure domain out of service, or brings it back.
   *
   * @param failureDomain name
   * @param out whether it is out of service
   */
  public void setEvacuated(String failureDomain, boolean out) {
    if (out) {
      evacuated.add(failureDomain);
    } else {
      evacuated.remove(failureDomain);
    }
  }

  /**
   * Returns the servers of a service that may receive new requests.
   *
   * @param service service
   * @return servers
   */
  public List<ServerInstance> usable(String service) {
    List<ServerInstance> usable = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.instance.service().equals(service) && isUsable(entry)) {
        usable.add(entry.instance);
      }
    }
    return usable;
  }

  private boolean isUsable(Entry entry) {
    return !entry.instance.leaving() && !evacuated.contains(entry.instance.failureDomain());
  }

  /**
   * Returns whether a run may continue at a server: it is listed, and it is the same process.
   *
   * @param instance server
   * @return whether requests may still be sent to it
   */
  public boolean isUsable(ServerInstance instance) {
    Entry entry = entries.get(instance.id());
    return entry != null && entry.instance.isSameProcess(instance) && isUsable(entry);
  }

  /**
   * Returns whether a server has started a short time ago. Such servers are slow for some seconds.
   *
   * @param id server
   * @param now time
   * @return whether it still warms up
   */
  public boolean isWarmingUp(String id, Instant now) {
    Entry entry = entries.get(id);
    return entry != null
        && (entry.listedAt.plus(WARM_UP).isAfter(now) || !entry.instance.coldFor().isZero());
  }

  /**
   * Returns the present description of a server.
   *
   * @param id server
   * @return description, absent if it is not listed
   */
  public Optional<ServerInstance> find(String id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.instance);
  }

  /**
   * Returns all servers.
   *
   * @return descriptions, also of those that leave
   */
  public List<ServerInstance> all() {
    return entries.values().stream().map(entry -> entry.instance).toList();
  }
}
