package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Tracks the backend servers that are known to be leaving. They get no new requests but still
 * finish those that they run. A server whose entry has disappeared is no longer in the {@link
 * ServerTable}, but its address is still needed to copy its runs and to fetch its report.
 */
public final class LeavingServers {

  /**
   * Time for which a mark is kept, unless the server has stated it in an answer and is still
   * listed. A server is gone some seconds after it announced its shutdown, and its identifier is
   * not reused before.
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
    REPORTED,
    /**
     * An answer of the server to a request says so, received by this VM or another one. The entry
     * of the same process may say that it is ready for as long as it serves.
     */
    STATED,
    /**
     * A roll-out moves its runs to another version, while its entry still says that it is ready.
     */
    REPLACED
  }

  private record Mark(ServerInstance server, Source source, Instant at) {}

  /**
   * Marks a server as leaving. The mark of a roll-out is replaced by one from any other source,
   * because the server then ends by itself, and any mark by the statement of the server.
   *
   * @param source how this became known
   * @return whether the server was not yet marked
   */
  public boolean markLeaving(ServerInstance server, Source source, Instant now) {
    tick(now);
    boolean isNew = !marks.containsKey(server.id());
    if (isNew
        || source == Source.STATED
        || (isOnlyReplaced(server.id()) && source != Source.REPLACED)) {
      marks.put(server.id(), new Mark(server, source, now));
    }
    return isNew;
  }

  /**
   * Renews the marks of listed servers that have stated that they leave, and drops the marks that
   * are older than {@link #RETENTION}.
   */
  public void tick(ServerTable listed, Instant now) {
    marks.replaceAll(
        (id, mark) ->
            mark.source() == Source.STATED && listed.isSameProcess(mark.server())
                ? new Mark(mark.server(), mark.source(), now)
                : mark);
    tick(now);
  }

  private void tick(Instant now) {
    marks.values().removeIf(mark -> mark.at().plus(RETENTION).isBefore(now));
  }

  /**
   * Removes the mark of a server whose entry says that it accepts requests. A mark from a report is
   * kept while the entry may be older than the report, that of a roll-out until {@link
   * #clearReplaced}, and that of a statement until {@link #clear}.
   */
  public void clearIfOlder(String serverId, Instant now) {
    Mark mark = marks.get(serverId);
    if (mark != null
        && mark.source() != Source.REPLACED
        && mark.source() != Source.STATED
        && (mark.source() != Source.REPORTED || mark.at().plus(MAX_ENTRY_LAG).isBefore(now))) {
      marks.remove(serverId);
    }
  }

  /** Removes the marks of a service's servers that a roll-out no longer replaces. */
  public void clearReplaced(String service) {
    marks
        .values()
        .removeIf(
            mark -> mark.source() == Source.REPLACED && mark.server().service().equals(service));
  }

  /** Removes the mark of a server because a new process has its identifier. */
  public void clear(String serverId) {
    marks.remove(serverId);
  }

  /** Returns the servers that have stated in an answer that they leave. */
  public List<ServerInstance> stated() {
    return marks.values().stream()
        .filter(mark -> mark.source() == Source.STATED)
        .map(Mark::server)
        .toList();
  }

  /**
   * Returns whether a server is leaving.
   *
   * @return whether it is marked as leaving
   */
  public boolean isLeaving(String serverId) {
    return marks.containsKey(serverId);
  }

  /**
   * Returns whether a server counts as leaving only because a roll-out replaces it.
   *
   * @return whether its only mark is that of a roll-out
   */
  public boolean isOnlyReplaced(String serverId) {
    Mark mark = marks.get(serverId);
    return mark != null && mark.source() == Source.REPLACED;
  }

  /**
   * Returns the last known description of a leaving server, also when it is no longer listed.
   *
   * @return description, or empty if the server is not marked as leaving
   */
  public Optional<ServerInstance> find(String serverId) {
    return Optional.ofNullable(marks.get(serverId)).map(Mark::server);
  }
}
