package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Load of each backend server: exact for the requests of this VM, and as last received for those of
 * its peers. Reports of the servers are not used, because they are several hundred milliseconds
 * old, and all VMs would send to the same server that seemed idle.
 */
public final class ServerLoads {

  private final Map<String, ServerLoad> own = new HashMap<>();
  private final Map<String, PeerLoads> peers = new HashMap<>();

  /**
   * Sums over {@link #peers}, kept up to date because every selection reads the load of every
   * server.
   */
  private final Map<String, ServerLoad> peerTotals = new HashMap<>();

  private Runnable prefillListener = () -> {};

  /** Result of {@link #own}; null if {@link #own} has changed since it was made. */
  private @Nullable Map<String, ServerLoad> ownSnapshot;

  /**
   * Load of one server, as counted by one or more VMs.
   *
   * @param runs number of running requests, copies included
   * @param tokens memory that they are expected to need, in tokens, copies included
   * @param pendingPrefillTokens prompt tokens of the runs that have not produced their first event
   *     yet
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

  /** Sets the listener that is called when the prefill of a prompt starts or ends at a server. */
  public void onPrefillChange(Runnable listener) {
    prefillListener = listener;
  }

  /**
   * Adds a request, or a copy of the KV cache of a run, to the load of a server.
   *
   * @param tokens memory that it is expected to need, in tokens
   */
  public void addRun(String serverId, int tokens) {
    ownSnapshot = null;
    own.merge(serverId, new ServerLoad(1, tokens, 0), ServerLoad::plus);
  }

  /**
   * Adds the prompt of a run that was added by {@link #addRun} to the pending prefill.
   *
   * @param tokens length of the prompt
   */
  public void startPrefill(String serverId, int tokens) {
    ownSnapshot = null;
    own.merge(serverId, new ServerLoad(0, 0, tokens), ServerLoad::plus);
    prefillListener.run();
  }

  /**
   * Removes a prompt that {@link #startPrefill} added. Must be called before {@link #removeRun}.
   *
   * @param tokens length of the prompt
   */
  public void endPrefill(String serverId, int tokens) {
    ownSnapshot = null;
    own.computeIfPresent(serverId, (id, load) -> load.plus(new ServerLoad(0, 0, -tokens)));
    prefillListener.run();
  }

  /**
   * Removes what {@link #addRun} added.
   *
   * @param tokens the same number of tokens as in the call of {@link #addRun}
   */
  public void removeRun(String serverId, int tokens) {
    ownSnapshot = null;
    ServerLoad remaining =
        own.getOrDefault(serverId, ServerLoad.NONE).plus(new ServerLoad(-1, -tokens, 0));
    if (remaining.runs() <= 0) {
      own.remove(serverId);
    } else {
      own.put(serverId, remaining);
    }
  }

  /**
   * Replaces the loads that a peer has counted.
   *
   * @param peer name of the peer
   * @param loads loads by server identifier
   */
  public void setPeerLoads(String peer, Map<String, ServerLoad> loads, Instant now) {
    PeerLoads previous = peers.get(peer);
    if (previous != null && previous.loads().equals(loads)) {
      peers.put(peer, new PeerLoads(previous.loads(), now));
      return;
    }
    PeerLoads received = new PeerLoads(Map.copyOf(loads), now);
    peers.put(peer, received);
    if (previous != null) {
      subtract(previous);
    }
    received.loads().forEach((server, load) -> peerTotals.merge(server, load, ServerLoad::plus));
  }

  private void subtract(PeerLoads gone) {
    gone.loads()
        .forEach(
            (server, load) ->
                peerTotals.computeIfPresent(
                    server,
                    (id, sum) -> {
                      ServerLoad remaining = sum.minus(load);
                      return remaining.equals(ServerLoad.NONE) ? null : remaining;
                    }));
  }

  /** Drops the loads of a peer whose process has ended: its requests have ended with it. */
  public void removePeer(String peer) {
    PeerLoads gone = peers.remove(peer);
    if (gone != null) {
      subtract(gone);
    }
  }

  /**
   * Drops the loads of peers that have been silent for longer than the timeout.
   *
   * @param peerTimeout several broadcast intervals
   */
  public void tick(Duration peerTimeout, Instant now) {
    peers
        .values()
        .removeIf(
            received -> {
              boolean isExpired = received.receivedAt().plus(peerTimeout).isBefore(now);
              if (isExpired) {
                subtract(received);
              }
              return isExpired;
            });
  }

  /**
   * Returns the loads that this VM has counted. Returns the same map until they change, because it
   * is read in each tick and for each message.
   *
   * @return loads by server identifier, immutable
   */
  public Map<String, ServerLoad> own() {
    Map<String, ServerLoad> snapshot = ownSnapshot;
    if (snapshot == null) {
      snapshot = Map.copyOf(own);
      ownSnapshot = snapshot;
    }
    return snapshot;
  }

  /** Returns the load that all VMs together have placed on a server. */
  public ServerLoad total(String serverId) {
    return own.getOrDefault(serverId, ServerLoad.NONE)
        .plus(peerTotals.getOrDefault(serverId, ServerLoad.NONE));
  }
}
