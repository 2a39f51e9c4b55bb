package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.edge.logging.StructuredLog;
import org.jspecify.annotations.Nullable;

/** Connections of callers. Closes those that exceed a limit, and logs which limit it was. */
final class CallerConnections {

  private static final StructuredLog LOG = StructuredLog.of(CallerConnections.class);

  /**
   * A caller without progress is given this multiple of the configured idle timeout, of which
   * callers use up to four fifths. As for idle connections, a newer configuration may be known to
   * callers first.
   */
  private static final double PROGRESS_TIME_FACTOR = 1.6;

  /** Time without progress after which a connection is closed when others wait for its memory. */
  private static final Duration PROGRESS_TIME_WHEN_EXHAUSTED = Duration.ofSeconds(2);

  private static final String LIMIT_PROGRESS = "progress";

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

  private final Gateway gateway;
  private final int maximum;
  private final Map<HttpConnection, CallerConnection> connections = new LinkedHashMap<>();
  private Instant checkedAt = Instant.MIN;

  CallerConnections(Gateway gateway) {
    this.gateway = gateway;
    this.maximum = gateway.settings().features().memory().maximumConnections();
  }

  /** Adds a connection. If there are too many, the one that has been idle longest is closed. */
  void open(HttpConnection connection) {
    ConnectionMeter meter = new ConnectionMeter();
    ((HttpServerConnection) connection).channelHandlerContext().pipeline().addFirst(meter);
    if (connections.size() >= maximum) {
      connections.values().stream()
          .filter(CallerConnection::isIdle)
          .min(Comparator.comparing(CallerConnection::idleSince))
          .ifPresentOrElse(
              oldest -> close(oldest, "connections"),
              () -> {
                recordClosed("connections", connection);
                connection.close();
              });
    }
    connections.put(
        connection,
        new CallerConnection(
            connection, meter, gateway.memory(), this::close, gateway.clock().instant()));
  }

  void remove(HttpConnection connection) {
    CallerConnection removed = connections.remove(connection);
    if (removed != null) {
      removed.releaseAll();
    }
  }

  @Nullable CallerConnection find(HttpConnection connection) {
    return connections.get(connection);
  }

  /** Leaves out a time in which the process was stopped from all limits on time. */
  void skipTime(Duration stopped, Instant now) {
    connections.values().forEach(connection -> connection.skipTime(stopped, now));
  }

  void tick(Instant now) {
    if (checkedAt.isAfter(now.minus(CHECK_INTERVAL))) {
      return;
    }
    checkedAt = now;
    List.copyOf(connections.values()).forEach(CallerConnection::retryRefused);
    List.copyOf(connections.values()).stream()
        .filter(connection -> connection.exceedsHeadTime(now))
        .forEach(connection -> close(connection, "head_time"));
    Duration idleTimeout = gateway.routes().limits().idleTimeout();
    Duration longest = Duration.ofMillis((long) (idleTimeout.toMillis() * PROGRESS_TIME_FACTOR));
    boolean exhausted = gateway.memory().isExhausted();
    for (CallerConnection connection : List.copyOf(connections.values())) {
      if (connection.timeWithoutProgress(now).compareTo(longest) > 0) {
        close(connection, LIMIT_PROGRESS);
      }
    }
    if (exhausted) {
      findLargestWithoutProgress(connections.values(), now)
          .ifPresent(largest -> close(largest, LIMIT_PROGRESS + "_when_exhausted"));
    }
  }

  /** Finds the connection whose end frees most memory, among those without progress. */
  static Optional<CallerConnection> findLargestWithoutProgress(
      Collection<CallerConnection> candidates, Instant now) {
    return candidates.stream()
        .filter(each -> each.heldWithoutProgress(PROGRESS_TIME_WHEN_EXHAUSTED, now) > 0)
        .max(
            Comparator.comparingLong(
                each -> each.heldWithoutProgress(PROGRESS_TIME_WHEN_EXHAUSTED, now)));
  }

  /** Returns whether a request has arrived, at least in part, that has not been started or read. */
  boolean hasUnfinishedRequest() {
    return connections.values().stream().anyMatch(CallerConnection::hasUnfinishedRequest);
  }

  /** Closes a connection. A request whose body is still being read is refused first. */
  private void close(CallerConnection closed, String limit) {
    if (closed.reader().filter(BodyReader::isReading).isPresent()) {
      closed.reader().get().refuse(limit);
      return;
    }
    recordClosed(limit, closed.connection());
    remove(closed.connection());
    if (limit.startsWith(LIMIT_PROGRESS)) {
      closed.meter().closeNow();
    } else {
      closed.connection().close();
    }
  }

  private void recordClosed(String limit, HttpConnection connection) {
    gateway.metrics().increment("cactusseam_connections_closed_total{limit=\"" + limit + "\"}");
    LOG.info(
        "connection_closed",
        field("limit", limit),
        field("remote", connection.remoteAddress()),
        field("connections", connections.size()),
        field("held_bytes", gateway.memory().heldBytes()));
  }
}
