package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Requests that run at each backend server: counted exactly for this VM, and as last told by the
 * other VMs. Reports of the servers are not used for it, because they are several hundred
 * milliseconds old and all VMs would send to the same server that seemed idle.
 */
public final class LoadBoard {

  /** Loads of a VM that has not spoken for this long are forgotten; several message intervals. */
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(3);

  private final Map<String, ServerLoad> own = new HashMap<>();
  private final Map<String, PeerLoads> peers = new HashMap<>();

  /**
   * Load of one server.
   *
   * @param runs requests
   * @param tokens memory that they are expected to need, copies included
   * @param unreadTokens prompt tokens of the runs that have no first event yet
   */
  public record ServerLoad(int runs, int tokens, int unreadTokens) {

    /** No load. */
    public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

    ServerLoad plus(ServerLoad more) {
      return new ServerLoad(
          runs + more.runs(), tokens + more.tokens(), unreadTokens + more.unreadTokens());
    }
  }

  private record PeerLoads(Map<String, ServerLoad> loads, Instant receivedAt) {}

  /**
   * Counts a request or a copy of its memory.
   *
   * @param serverId server
   * @param tokens memory that it is expected to need
   */
  public void started(String serverId, int tokens) {
    own.merge(serverId, new ServerLoad(1, tokens, 0), ServerLoad::plus);
  }

  /**
   * Counts a prompt that a server has to read, after {@link #started}.
   *
   * @param serverId server
   * @param tokens its length
   */
  public void promptSent(String serverId, int tokens) {
    own.merge(serverId, new ServerLoad(0, 0, tokens), ServerLoad::plus);
  }

  /**
   * Ends what {@link #promptSent} counted, before {@link #ended}.
   *
   * @param serverId server
   * @param tokens its length
   */
  public void promptRead(String serverId, int tokens) {
    own.computeIfPresent(serverId, (id, load) -> load.plus(new ServerLoad(0, 0, -tokens)));
  }

  /**
   * Ends what {@link #started} counted.
   *
   * @param serverId server
   * @param tokens the same number as at the start
   */
  public void ended(String serverId, int tokens) {
    ServerLoad left =
        own.getOrDefault(serverId, ServerLoad.NONE).plus(new ServerLoad(-1, -tokens, 0));
    if (left.runs() <= 0) {
      own.remove(serverId);
    } else {
      own.put(serverId, left);
    }
  }

  /**
   * Takes the loads that another VM counts.
   *
   * @param peer VM
   * @param loads loads by server
   * @param now time
   */
  public void peerLoads(String peer, Map<String, ServerLoad> loads, Instant now) {
    peers.put(peer, new PeerLoads(Map.copyOf(loads), now));
  }

  /**
   * Forgets the loads of VMs that no longer speak.
   *
   * @param now time
   */
  public void tick(Instant now) {
    peers.values().removeIf(loads -> loads.receivedAt().plus(PEER_TIMEOUT).isBefore(now));
  }

  /**
   * Returns what this VM counts.
   *
   * @return loads by server
   */
  public Map<String, ServerLoad> own() {
    return Map.copyOf(own);
  }

  /**
   * Returns the load of a server.
   *
   * @param serverId server
   * @return load from all VMs
   */
  public ServerLoad total(String serverId) {
    ServerLoad total = own.getOrDefault(serverId, ServerLoad.NONE);
    for (PeerLoads peer : peers.values()) {
      total = total.plus(peer.loads().getOrDefault(serverId, ServerLoad.NONE));
    }
    return total;
  }
}
