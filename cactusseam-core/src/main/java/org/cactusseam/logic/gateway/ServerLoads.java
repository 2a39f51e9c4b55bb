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
public final class ServerLoads {

  /** Loads of a VM that has not spoken for this long are forgotten; several message intervals. */
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(3);

  private final Map<String, ServerLoad> own = new HashMap<>();
  private final Map<String, PeerLoads> peers = new HashMap<>();

  /** Sum over {@link #peers}: every placement reads the load of every server. */
  private final Map<String, ServerLoad> ofPeers = new HashMap<>();

  private Runnable promptListener = () -> {};

  /**
   * Load of one server.
   *
   * @param runs requests
   * @param tokens memory that they are expected to need, copies included
   * @param pendingPrefillTokens prompt tokens of the runs that have no first event yet
   */
  public record ServerLoad(int runs, int tokens, int pendingPrefillTokens) {

    /** No load. */
    public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

    ServerLoad plus(ServerLoad more) {
      return new ServerLoad(
          runs + more.runs(),
          tokens + more.tokens(),
          pendingPrefillTokens + more.pendingPrefillTokens());
    }

    ServerLoad minus(ServerLoad less) {
      return plus(new ServerLoad(-less.runs(), -less.tokens(), -less.pendingPrefillTokens()));
    }
  }

  private record PeerLoads(Map<String, ServerLoad> loads, Instant receivedAt) {}

  /**
   * Sets the listener to prompts: it is called when one is sent to a server or has been read there.
   *
   * @param listener listener
   */
  public void onPrefillChange(Runnable listener) {
    promptListener = listener;
  }

  /**
   * Counts a request or a copy of its memory.
   *
   * @param serverId server
   * @param tokens memory that it is expected to need
   */
  public void addRun(String serverId, int tokens) {
    own.merge(serverId, new ServerLoad(1, tokens, 0), ServerLoad::plus);
  }

  /**
   * Counts a prompt that a server has to read, after {@link #addRun}.
   *
   * @param serverId server
   * @param tokens its length
   */
  public void startPrefill(String serverId, int tokens) {
    own.merge(serverId, new ServerLoad(0, 0, tokens), ServerLoad::plus);
    promptListener.run();
  }

  /**
   * Ends what {@link #startPrefill} counted, before {@link #removeRun}.
   *
   * @param serverId server
   * @param tokens its length
   */
  public void endPrefill(String serverId, int tokens) {
    own.computeIfPresent(serverId, (id, load) -> load.plus(new ServerLoad(0, 0, -tokens)));
    promptListener.run();
  }

  /**
   * Ends what {@link #addRun} counted.
   *
   * @param serverId server
   * @param tokens the same number as at the start
   */
  public void removeRun(String serverId, int tokens) {
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
  public void setPeerLoads(String peer, Map<String, ServerLoad> loads, Instant now) {
    PeerLoads told = new PeerLoads(Map.copyOf(loads), now);
    PeerLoads before = peers.put(peer, told);
    if (before != null) {
      subtract(before);
    }
    told.loads().forEach((server, load) -> ofPeers.merge(server, load, ServerLoad::plus));
  }

  private void subtract(PeerLoads gone) {
    gone.loads()
        .forEach(
            (server, load) ->
                ofPeers.computeIfPresent(
                    server,
                    (id, sum) -> {
                      ServerLoad left = sum.minus(load);
                      return left.equals(ServerLoad.NONE) ? null : left;
                    }));
  }

  /**
   * Forgets the loads of VMs that no longer speak.
   *
   * @param now time
   */
  public void tick(Instant now) {
    peers
        .values()
        .removeIf(
            told -> {
              boolean isOld = told.receivedAt().plus(PEER_TIMEOUT).isBefore(now);
              if (isOld) {
                subtract(told);
              }
              return isOld;
            });
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
    return own.getOrDefault(serverId, ServerLoad.NONE)
        .plus(ofPeers.getOrDefault(serverId, ServerLoad.NONE));
  }
}
