package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells which connections of callers have been idle for longer than the configuration allows. The
 * limit can change while connections are open.
 *
 * @param <C> connection
 */
public final class IdleConnections<C> {

  /**
   * Connections are closed after this multiple of the limit: callers may follow a newer
   * configuration with a longer limit some seconds before this VM knows it.
   */
  private static final double MARGIN = 1.6;

  private final Map<C, Use> uses = new HashMap<>();

  private static final class Use {
    private int requests;
    private Instant idleSince;

    Use(Instant now) {
      idleSince = now;
    }
  }

  /**
   * A connection was opened.
   *
   * @param connection connection
   * @param now time
   */
  public void opened(C connection, Instant now) {
    uses.put(connection, new Use(now));
  }

  /**
   * A connection was closed.
   *
   * @param connection connection
   */
  public void closed(C connection) {
    uses.remove(connection);
  }

  /**
   * A request has arrived. A caller may send the next one before the answer to the one before.
   *
   * @param connection its connection
   */
  public void requestStarted(C connection) {
    Use use = uses.get(connection);
    if (use != null) {
      use.requests++;
    }
  }

  /**
   * A request has been answered.
   *
   * @param connection its connection
   * @param now time
   */
  public void requestEnded(C connection, Instant now) {
    Use use = uses.get(connection);
    if (use != null) {
      use.requests--;
      use.idleSince = now;
    }
  }

  /**
   * Returns the connections that are to be closed.
   *
   * @param limit time for which a caller may leave a connection idle
   * @param now time
   * @return connections without a request, idle for longer
   */
  public List<C> expired(Duration limit, Instant now) {
    Instant latest = now.minusMillis((long) (limit.toMillis() * MARGIN));
    List<C> expired = new ArrayList<>();
    uses.forEach(
        (connection, use) -> {
          if (use.requests == 0 && use.idleSince.isBefore(latest)) {
            expired.add(connection);
          }
        });
    return expired;
  }
}
