package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Servers that have announced that they leave. They still serve the requests that they run. */
public final class LeavingServers {

  /** Servers are gone some seconds after their notice; their identity is not used again before. */
  private static final Duration KEPT = Duration.ofSeconds(30);

  /**
   * Age from which an entry that says nothing of a departure is newer than the report that did: the
   * entry lags by up to 0.8 s (site files) and is written every 1.2 s.
   */
  private static final Duration ENTRY_LAG = Duration.ofSeconds(3);

  private final Map<String, Notice> notices = new HashMap<>();

  /** How a departure became known. */
  public enum Source {
    /** The entry of the server says so. */
    ANNOUNCED,
    /** The entry is gone; some servers leave without an announcement. */
    ENTRY_GONE,
    /** The server says so itself, or another VM has been told. */
    REPORTED
  }

  private record Notice(Source sign, Instant at) {}

  /**
   * A server leaves.
   *
   * @param serverId server
   * @param sign how this became known
   * @param now time
   * @return whether this was not known
   */
  public boolean markLeaving(String serverId, Source sign, Instant now) {
    notices.values().removeIf(notice -> notice.at().plus(KEPT).isBefore(now));
    return notices.putIfAbsent(serverId, new Notice(sign, now)) == null;
  }

  /**
   * The entry of a server says that it takes requests. A report of its departure that is younger
   * than the lag of the entry still holds.
   *
   * @param serverId server
   * @param now time
   */
  public void clearIfOlder(String serverId, Instant now) {
    Notice notice = notices.get(serverId);
    if (notice != null
        && (notice.sign() != Source.REPORTED || notice.at().plus(ENTRY_LAG).isBefore(now))) {
      notices.remove(serverId);
    }
  }

  /**
   * Another process has the identity of a server.
   *
   * @param serverId server
   */
  public void clear(String serverId) {
    notices.remove(serverId);
  }

  /**
   * Returns whether a server leaves.
   *
   * @param serverId server
   * @return whether it has announced it and not taken it back
   */
  public boolean isLeaving(String serverId) {
    return notices.containsKey(serverId);
  }
}
