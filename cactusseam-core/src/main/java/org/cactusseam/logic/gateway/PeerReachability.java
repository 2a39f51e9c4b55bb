package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which peers (other VMs) are reachable and how many share the common limits. Names of
 * removed VMs stay in the platform's store; if they were counted forever, the shares of the
 * remaining VMs would only shrink.
 */
public final class PeerReachability {

  /**
   * Time for which an unreachable VM keeps its share: it may still send to backend servers during a
   * network partition, or come back after a restart. Partitions last up to 9 s.
   */
  private static final Duration SHARE_RETENTION = Duration.ofSeconds(60);

  /** A VM that is unreachable for longer has ended, because partitions last up to 9 s. */
  private static final Duration MAX_PARTITION = Duration.ofSeconds(10);

  private final Set<String> connected = new HashSet<>();
  private final Map<String, Instant> unreachableSince = new HashMap<>();
  private boolean hasLostPeer;

  /** Records that a VM was found in the store. */
  public void recordDiscovered(String node, Instant now) {
    if (!connected.contains(node)) {
      unreachableSince.putIfAbsent(node, now);
    }
  }

  /** Records that a VM is connected. */
  public void recordConnected(String node) {
    unreachableSince.remove(node);
    connected.add(node);
  }

  /** Records that the connection to a VM has ended. */
  public void recordDisconnected(String node, Instant now) {
    if (connected.remove(node)) {
      unreachableSince.put(node, now);
      hasLostPeer = true;
    }
  }

  /**
   * Returns whether a connection has ended since the last call.
   *
   * @return whether {@link #recordDisconnected} was called for a connected peer
   */
  public boolean takeLostPeer() {
    boolean lost = hasLostPeer;
    hasLostPeer = false;
    return lost;
  }

  /** Drops VMs that have been unreachable for longer than they keep their share. */
  public void tick(Instant now) {
    unreachableSince.values().removeIf(at -> !at.plus(SHARE_RETENTION).isAfter(now));
  }

  /** Returns the number of connected peers, which receive the broadcasts of this VM. */
  public int connectedCount() {
    return connected.size();
  }

  /**
   * Returns the number of peers that have a share of the common limits.
   *
   * @return number of connected peers and of those that became unreachable less than 60 s ago
   */
  public int sharingCount(Instant now) {
    // All others are connected in nearly every tick; the names are not needed then.
    return unreachableSince.isEmpty() ? connected.size() : sharing(now).size();
  }

  /**
   * Returns the names of the peers that have a share of the common limits.
   *
   * @return connected peers and those that became unreachable less than 60 s ago
   */
  public List<String> sharing(Instant now) {
    return reachableWithin(SHARE_RETENTION, now);
  }

  /**
   * Returns the names of the peers that may serve requests although they are unreachable.
   *
   * @return connected peers and those that became unreachable less than 10 s ago
   */
  public List<String> possiblyPartitioned(Instant now) {
    return reachableWithin(MAX_PARTITION, now);
  }

  private List<String> reachableWithin(Duration time, Instant now) {
    List<String> nodes = new ArrayList<>(connected);
    unreachableSince.forEach(
        (node, at) -> {
          if (at.plus(time).isAfter(now)) {
            nodes.add(node);
          }
        });
    return nodes;
  }
}
