package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a VM tells the others the load that it has placed. Answers the load pattern of many
 * VMs with few streams each: told at an interval that grows with the number of VMs, the loads were
 * so old that many VMs sent their prompts to the same engine, where they waited for each other.
 *
 * <p>Prompts are told at once, as long as a bound on messages allows it. All else is told at an
 * interval that the same bound makes longer with more VMs.
 */
public final class LoadBroadcastPolicy {

  /** Shortest time between two messages to a VM about anything but prompts. */
  private static final Duration SHORTEST_INTERVAL = Duration.ofMillis(150);

  /** Time after which loads are told although nothing has changed; see the timeout of loads. */
  private static final Duration LONGEST_INTERVAL = Duration.ofMillis(1_000);

  /** Messages a second about anything but prompts: a VM with 0.36 cores also serves requests. */
  private static final double MESSAGES_PER_SECOND = 60;

  /**
   * Messages a second about prompts. 64 other VMs of the grown deployments, a stream every two
   * seconds (site files), told at its start and at its first event.
   */
  private static final double PROMPT_MESSAGES_PER_SECOND = 120;

  /** Prompts that may follow each other at once: one wave of streams at a VM. */
  private static final double PROMPT_BURST = 6;

  private static final double MILLIS_PER_SECOND = 1_000;

  private Map<String, ServerLoads.ServerLoad> told = Map.of();
  private Instant toldAt = Instant.MIN;
  private double promptMessages;
  private Instant refilledAt = Instant.MIN;

  /**
   * Returns whether the loads are to be told now.
   *
   * @param loads loads of this VM by server
   * @param others number of other VMs
   * @param now time
   * @return whether a message is due to each of them
   */
  public boolean isDue(Map<String, ServerLoads.ServerLoad> loads, int others, Instant now) {
    refill(others, now);
    boolean promptsChanged = !unread(loads).equals(unread(told)) && promptMessages >= others;
    boolean otherChanged = isOlderThan(interval(others), now) && !loads.equals(told);
    return promptsChanged || otherChanged || isOlderThan(LONGEST_INTERVAL, now);
  }

  /**
   * Counts a message to each of the other VMs.
   *
   * @param loads loads that were told
   * @param others number of other VMs
   * @param now time
   */
  public void recordBroadcast(Map<String, ServerLoads.ServerLoad> loads, int others, Instant now) {
    told = Map.copyOf(loads);
    toldAt = now;
    promptMessages -= others;
  }

  private void refill(int others, Instant now) {
    double most = PROMPT_BURST * others;
    if (refilledAt.equals(Instant.MIN)) {
      promptMessages = most;
    } else {
      double seconds = Duration.between(refilledAt, now).toMillis() / MILLIS_PER_SECOND;
      promptMessages =
          Math.min(most, Math.max(0, promptMessages) + seconds * PROMPT_MESSAGES_PER_SECOND);
    }
    refilledAt = now;
  }

  private boolean isOlderThan(Duration age, Instant now) {
    return toldAt.equals(Instant.MIN) || toldAt.plus(age).isBefore(now);
  }

  private static Duration interval(int others) {
    Duration bound = Duration.ofMillis((long) (others * MILLIS_PER_SECOND / MESSAGES_PER_SECOND));
    return bound.compareTo(SHORTEST_INTERVAL) < 0 ? SHORTEST_INTERVAL : bound;
  }

  private static Map<String, Integer> unread(Map<String, ServerLoads.ServerLoad> loads) {
    Map<String, Integer> unread = new HashMap<>();
    loads.forEach(
        (server, load) -> {
          if (load.pendingPrefillTokens() > 0) {
            unread.put(server, load.pendingPrefillTokens());
          }
        });
    return unread;
  }
}
