package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the backend servers that are known to be leaving. They get no new requests but still
 * finish those that they run.
 */
public final class LeavingServers {

  /**
   * Minimum time for which a mark is kept; older marks are dropped when the next server is marked.
   * A server is gone some seconds after it announced its shutdown, and its identifier is not reused
   * before.
   */
  private static final Duration RETENTION = Duration.ofSeconds(30);

  /**
   * Minimum age of a report at which an entry in the store that says the server is ready is
   * certainly newer than the report. Entries lag by up to 0.8 s and are written every 1.2 s.
   */
  private static final Duration MAX_ENTRY_LAG = Duration.ofSeconds(3);

  private final Map<String, Mark> marks = new HashMap<>();

  /** How it became known that a server is leaving. */
  public enum Source {
    /** The entry of the server in the store says so. */
    ANNOUNCED,
    /** The entry has disappeared; some servers leave without announcing it. */
    ENTRY_GONE,
    /** A report of the server says so, received by this VM or forwarded by another one. */
    REPORTED
  }

  private record Mark(Source source, Instant at) {}

  /**
   * Marks a server as leaving.
   *
   * @param source how this became known
   * @return whether the server was not yet marked
   */
  public boolean markLeaving(String serverId, Source source, Instant now) {
    marks.values().removeIf(mark -> mark.at().plus(RETENTION).isBefore(now));
    return marks.putIfAbsent(serverId, new Mark(source, now)) == null;
  }

  /**
   * Removes the mark of a server whose entry says that it accepts requests. A mark from a report is
   * kept while the entry may be older than the report.
   */
  public void clearIfOlder(String serverId, Instant now) {
    Mark mark = marks.get(serverId);
    if (mark != null
        && (mark.source() != Source.REPORTED || mark.at().plus(MAX_ENTRY_LAG).isBefore(now))) {
      marks.remove(serverId);
    }
  }

  /** Removes the mark of a server because a new process has its identifier. */
  public void clear(String serverId) {
    marks.remove(serverId);
  }

  /**
   * Returns whether a server is leaving.
   *
   * @return whether it is marked as leaving
   */
  public boolean isLeaving(String serverId) {
    return marks.containsKey(serverId);
  }
}
