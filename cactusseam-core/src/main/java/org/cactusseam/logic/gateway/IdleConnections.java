package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the connections of callers that have been idle for longer than the configured limit. The
 * limit can change while connections are open.
 *
 * @param <C> type of the connections
 */
public final class IdleConnections<C> {

  /**
   * Connections are closed after this multiple of the limit: callers may already follow a newer
   * configuration with a longer limit some seconds before this VM has read it.
   */
  private static final double LIMIT_FACTOR = 1.6;

  private final Map<C, Usage> usages = new HashMap<>();

  private static final class Usage {
    private int requests;
    private Instant idleSince;

    Usage(Instant now) {
      idleSince = now;
    }
  }

  /** Adds a connection that was opened. */
  public void recordOpened(C connection, Instant now) {
    usages.put(connection, new Usage(now));
  }

  /** Removes a connection that was closed. */
  public void recordClosed(C connection) {
    usages.remove(connection);
  }

  /**
   * Records that a request has arrived. With pipelining, a caller may send the next request before
   * the previous one is answered.
   */
  public void recordRequestStart(C connection) {
    Usage usage = usages.get(connection);
    if (usage != null) {
      usage.requests++;
    }
  }

  /** Records that a request has been answered; the idle time starts again. */
  public void recordRequestEnd(C connection, Instant now) {
    Usage usage = usages.get(connection);
    if (usage != null) {
      usage.requests--;
      usage.idleSince = now;
    }
  }

  /**
   * Returns the connections that must be closed.
   *
   * @param limit configured idle timeout
   * @return connections without an open request that have been idle for longer than the limit and
   *     its margin
   */
  public List<C> expired(Duration limit, Instant now) {
    Instant idleLimit = now.minusMillis((long) (limit.toMillis() * LIMIT_FACTOR));
    List<C> expired = new ArrayList<>();
    usages.forEach(
        (connection, usage) -> {
          if (usage.requests == 0 && usage.idleSince.isBefore(idleLimit)) {
            expired.add(connection);
          }
        });
    return expired;
  }
}
