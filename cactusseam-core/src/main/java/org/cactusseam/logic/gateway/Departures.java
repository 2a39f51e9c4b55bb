package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Servers that have announced that they leave. They still serve the requests that they run. */
public final class Departures {

  /** Servers are gone some seconds after their notice; their identity is not used again before. */
  private static final Duration KEPT = Duration.ofSeconds(30);

  private final Map<String, Instant> noticedAt = new HashMap<>();

  /**
   * A server has announced that it leaves.
   *
   * @param serverId server
   * @param now time
   * @return whether this was not known
   */
  public boolean noticed(String serverId, Instant now) {
    noticedAt.values().removeIf(at -> at.plus(KEPT).isBefore(now));
    return noticedAt.putIfAbsent(serverId, now) == null;
  }

  /**
   * A server takes requests again, or another one has its identity.
   *
   * @param serverId server
   */
  public void cancelled(String serverId) {
    noticedAt.remove(serverId);
  }

  /**
   * Returns whether a server leaves.
   *
   * @param serverId server
   * @return whether it has announced it and not taken it back
   */
  public boolean isLeaving(String serverId) {
    return noticedAt.containsKey(serverId);
  }
}
