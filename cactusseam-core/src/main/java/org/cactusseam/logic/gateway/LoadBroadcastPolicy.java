package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a VM sends the loads that it has placed on backend servers to its peers. An interval
 * that only grows with the number of VMs is not enough: with many VMs and few streams on each, the
 * loads were so old that many VMs sent their prompts to the same engine, where the prompts queued.
 *
 * <p>Changes of the pending prefill are sent immediately within a bounded message rate. All other
 * changes are sent at an interval that grows with the number of VMs, so that the message rate stays
 * bounded.
 */
public final class LoadBroadcastPolicy {

  /** Minimum time between two broadcasts without a change of the pending prefill. */
  private static final Duration MIN_INTERVAL = Duration.ofMillis(150);

  /**
   * Shortest time after which unchanged loads are sent again, so that peers do not let them expire
   * ({@link ServerLoads}).
   */
  private static final Duration MIN_KEEP_ALIVE = Duration.ofMillis(1_000);

  /** Longest time after which unchanged loads are sent again. */
  private static final Duration MAX_KEEP_ALIVE = Duration.ofMillis(3_000);

  /**
   * Messages per second with unchanged loads. With one per second to each peer, 95 VMs that had
   * nothing to report exchanged 18,000 messages and acknowledgements per second.
   */
  private static final double KEEP_ALIVE_MESSAGES_PER_SECOND = 30;

  /** Number of lost or late broadcasts after which the loads of a peer expire. */
  private static final int KEEP_ALIVES_UNTIL_EXPIRY = 3;

  /**
   * Messages per second that are not caused by prompts. A VM has 0.36 cores and also serves
   * requests.
   */
  private static final double MESSAGES_PER_SECOND = 60;

  /**
   * Messages per second that are caused by prompts. Large deployments have 64 peers, a stream every
   * two seconds on each VM, and broadcast at its start and at its first event.
   */
  private static final double PROMPT_MESSAGES_PER_SECOND = 120;

  /**
   * Broadcasts for prompts that may follow each other without delay; covers a burst of new streams
   * at one VM.
   */
  private static final double PROMPT_BURST = 6;

  private static final double MILLIS_PER_SECOND = 1_000;

  private Map<String, ServerLoads.ServerLoad> lastLoads = Map.of();
  private Instant lastBroadcastAt = Instant.MIN;
  private double availablePromptMessages;
  private Instant refilledAt = Instant.MIN;

  /**
   * Returns whether the loads must be sent now.
   *
   * @param loads loads of this VM by server identifier
   * @param peerCount number of connected peers
   * @return whether to send a message to each peer
   */
  public boolean isDue(Map<String, ServerLoads.ServerLoad> loads, int peerCount, Instant now) {
    refill(peerCount, now);
    boolean changed = !loads.equals(lastLoads);
    boolean promptsChanged =
        changed
            && availablePromptMessages >= peerCount
            && !pendingPrefill(loads).equals(pendingPrefill(lastLoads));
    boolean otherChanged = changed && isOlderThan(interval(peerCount), now);
    return promptsChanged || otherChanged || isOlderThan(keepAlive(peerCount), now);
  }

  /**
   * Returns the time after which the loads of a silent peer expire.
   *
   * @param peerCount number of connected peers
   */
  public static Duration expiry(int peerCount) {
    return keepAlive(peerCount).multipliedBy(KEEP_ALIVES_UNTIL_EXPIRY);
  }

  private static Duration keepAlive(int peerCount) {
    Duration keepAlive =
        Duration.ofMillis((long) (peerCount * MILLIS_PER_SECOND / KEEP_ALIVE_MESSAGES_PER_SECOND));
    if (keepAlive.compareTo(MIN_KEEP_ALIVE) < 0) {
      return MIN_KEEP_ALIVE;
    }
    return keepAlive.compareTo(MAX_KEEP_ALIVE) > 0 ? MAX_KEEP_ALIVE : keepAlive;
  }

  /**
   * Records that the loads were sent to all peers.
   *
   * @param loads loads that were sent
   * @param peerCount number of connected peers
   */
  public void recordBroadcast(
      Map<String, ServerLoads.ServerLoad> loads, int peerCount, Instant now) {
    lastLoads = Map.copyOf(loads);
    lastBroadcastAt = now;
    availablePromptMessages -= peerCount;
  }

  private void refill(int peerCount, Instant now) {
    double capacity = PROMPT_BURST * peerCount;
    if (refilledAt.equals(Instant.MIN)) {
      availablePromptMessages = capacity;
    } else {
      double seconds = Duration.between(refilledAt, now).toMillis() / MILLIS_PER_SECOND;
      availablePromptMessages =
          Math.min(
              capacity,
              Math.max(0, availablePromptMessages) + seconds * PROMPT_MESSAGES_PER_SECOND);
    }
    refilledAt = now;
  }

  private boolean isOlderThan(Duration age, Instant now) {
    return lastBroadcastAt.equals(Instant.MIN) || lastBroadcastAt.plus(age).isBefore(now);
  }

  private static Duration interval(int peerCount) {
    Duration bound =
        Duration.ofMillis((long) (peerCount * MILLIS_PER_SECOND / MESSAGES_PER_SECOND));
    return bound.compareTo(MIN_INTERVAL) < 0 ? MIN_INTERVAL : bound;
  }

  private static Map<String, Integer> pendingPrefill(Map<String, ServerLoads.ServerLoad> loads) {
    Map<String, Integer> pendingPrefill = new HashMap<>();
    loads.forEach(
        (server, load) -> {
          if (load.pendingPrefillTokens() > 0) {
            pendingPrefill.put(server, load.pendingPrefillTokens());
          }
        });
    return pendingPrefill;
  }
}
