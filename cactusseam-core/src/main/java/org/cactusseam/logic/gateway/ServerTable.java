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
 * Holds the backend servers that are listed in the platform's store, and decides which of them may
 * receive requests.
 *
 * <p>An entry that disappears during an outage of the store may have expired although its server is
 * alive. Such entries stay usable for {@link #LAPSE_GRACE} after the recovery of the store and are
 * then dropped. An entry that announced that its server is leaving is dropped immediately.
 */
public final class ServerTable {

  /**
   * Grace period after the recovery of the store. Entries of live servers are back within about 2
   * s.
   */
  public static final Duration LAPSE_GRACE = Duration.ofMillis(2_200);

  /**
   * Time after which a newly listed server counts as warm. Servers are slow for some seconds after
   * their start.
   */
  static final Duration WARM_UP = Duration.ofSeconds(2);

  private final Map<String, Entry> entries = new HashMap<>();
  private final Set<String> evacuated = new HashSet<>();
  private Instant gracePeriodEnd = Instant.MIN;

  private static final class Entry {
    private ServerInstance instance;
    private final Instant listedAt;
    private Instant coldUntil;
    private boolean absent;

    Entry(ServerInstance instance, Instant listedAt) {
      this.instance = instance;
      this.listedAt = listedAt;
      this.coldUntil = listedAt.plus(instance.coldFor());
    }
  }

  /**
   * Adds a server or replaces its description.
   *
   * @return whether the server is new or has restarted
   */
  public boolean put(ServerInstance instance, Instant now) {
    Entry known = entries.get(instance.id());
    if (known == null || !known.instance.isSameProcess(instance)) {
      entries.put(instance.id(), new Entry(instance, now));
      return true;
    }
    known.instance = instance;
    known.coldUntil = now.plus(instance.coldFor());
    known.absent = false;
    return false;
  }

  /**
   * Handles the disappearance of an entry.
   *
   * @return the server if it is considered gone; empty if it is unknown or its entry may only have
   *     lapsed
   */
  public Optional<ServerInstance> remove(String id, Instant now) {
    Entry entry = entries.get(id);
    if (entry == null) {
      return Optional.empty();
    }
    if (entry.instance.leaving() || !isInGracePeriod(now)) {
      entries.remove(id);
      return Optional.of(entry.instance);
    }
    entry.absent = true;
    return Optional.empty();
  }

  /**
   * Returns whether missing entries may have lapsed during an outage of the store.
   *
   * @return whether the store recovered less than {@link #LAPSE_GRACE} ago
   */
  public boolean isInGracePeriod(Instant now) {
    return now.isBefore(gracePeriodEnd);
  }

  /**
   * Starts the grace period: the store answers again after an outage, and missing entries may have
   * lapsed.
   */
  public void storeReturned(Instant now) {
    gracePeriodEnd = now.plus(LAPSE_GRACE);
  }

  /**
   * Drops entries that are still missing after the grace period.
   *
   * @return their servers, which are considered gone
   */
  public List<ServerInstance> tick(Instant now) {
    if (isInGracePeriod(now)) {
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
   * Takes a failure domain out of service or returns it to service.
   *
   * @param failureDomain name of the failure domain
   * @param out whether it is out of service
   */
  public void setEvacuated(String failureDomain, boolean out) {
    if (out) {
      evacuated.add(failureDomain);
    } else {
      evacuated.remove(failureDomain);
    }
  }

  /** Returns the servers of a service that may receive new requests. */
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
   * Returns whether a run may continue at a server, that is, whether the same process is still
   * listed and usable.
   *
   * @return whether requests may still be sent to this process
   */
  public boolean isUsable(ServerInstance instance) {
    Entry entry = entries.get(instance.id());
    return entry != null && entry.instance.isSameProcess(instance) && isUsable(entry);
  }

  /** Returns whether a server is listed and its process is the one that is described. */
  boolean isSameProcess(ServerInstance instance) {
    return find(instance.id()).filter(instance::isSameProcess).isPresent();
  }

  /**
   * Returns whether a server was listed a short time ago or reports that it is cold. Such servers
   * are slow for some seconds.
   *
   * @return whether it is still warming up
   */
  public boolean isWarmingUp(String id, Instant now) {
    Entry entry = entries.get(id);
    return entry != null
        && (entry.listedAt.plus(WARM_UP).isAfter(now) || entry.coldUntil.isAfter(now));
  }

  /**
   * Returns the current description of a server.
   *
   * @return description, or empty if it is not listed
   */
  public Optional<ServerInstance> find(String id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.instance);
  }

  /**
   * Returns all listed servers.
   *
   * @return descriptions, including leaving and absent servers
   */
  public List<ServerInstance> all() {
    return entries.values().stream().map(entry -> entry.instance).toList();
  }
}
