package org.cactusseam.edge.client;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.impl.HttpServerConnection;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.memory.StopDetector;

/** Connections of callers. Closes those that exceed a limit, and logs which limit it was. */
public final class CallerConnections {

  private static final StructuredLog LOG = StructuredLog.of(CallerConnections.class);

  /** Time without progress after which a connection is closed when others wait for its memory. */
  private static final Duration PROGRESS_TIME_WHEN_EXHAUSTED = Duration.ofSeconds(2);

  private static final String LIMIT_PROGRESS = "progress";

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

  /** Time for which the rest of a refused body is discarded, so that the response can be read. */
  private static final long DISCARD_MILLIS = 2_000;

  private final Vertx vertx;
  private final Clock clock;
  private final ClientMemory memory;
  private final Limits limits;
  private final Consumer<String> onClosed;
  private final StopDetector stops;
  private final Map<HttpConnection, CallerConnection> connections = new LinkedHashMap<>();
  private Instant checkedAt = Instant.MIN;

  /**
   * Limits on the connections of callers.
   *
   * @param maximum connections that are open at the same time
   * @param progressTime time without progress after which a transfer is ended
   */
  public record Limits(int maximum, Supplier<Duration> progressTime) {}

  /**
   * Creates an empty set of connections, for one event loop.
   *
   * @param vertx Vert.x instance of the event loop
   * @param clock source of the current time
   * @param memory memory that is held for the connections
   * @param limits limits on the connections
   * @param onClosed called with the limit for which a connection is closed
   */
  public CallerConnections(
      Vertx vertx, Clock clock, ClientMemory memory, Limits limits, Consumer<String> onClosed) {
    this.vertx = vertx;
    this.clock = clock;
    this.memory = memory;
    this.limits = limits;
    this.onClosed = onClosed;
    this.stops = new StopDetector(clock.instant());
  }

  /**
   * Adds a connection. If there are too many, the one that has been idle longest is closed.
   *
   * @param connection connection that has been accepted
   */
  public void open(HttpConnection connection) {
    ConnectionMeter meter = new ConnectionMeter();
    ((HttpServerConnection) connection).channelHandlerContext().pipeline().addFirst(meter);
    if (connections.size() >= limits.maximum()) {
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
        connection, new CallerConnection(connection, meter, memory, this::close, clock.instant()));
  }

  /**
   * Removes a connection and ends its reservations.
   *
   * @param connection connection that is closed
   */
  public void remove(HttpConnection connection) {
    CallerConnection removed = connections.remove(connection);
    if (removed != null) {
      removed.releaseAll();
    }
  }

  /**
   * Starts a request when the caller has read most of the response before it. Without the wait, the
   * responses to all requests that it has sent at once would be held.
   *
   * @param request request whose head has arrived
   * @param start starts the request; not called if the connection is closed before
   */
  public void receive(HttpServerRequest request, Consumer<CallerConnection> start) {
    CallerConnection connection = connections.get(request.connection());
    if (connection == null) {
      // The connection was closed for a limit while this request waited behind another one.
      request.connection().close();
    } else if (connection.meter().isWritable()) {
      start.accept(connection);
    } else {
      request.pause();
      connection
          .meter()
          .onceWritable(
              () -> {
                if (connection.isClosed()) {
                  return;
                }
                start.accept(connection);
                request.resume();
              });
    }
  }

  /**
   * Records the start of a request, and its end when the response has ended.
   *
   * @param request request that starts
   * @param connection connection of the request
   * @param bodyLimit maximum size of the body in bytes
   * @param onEnd called with the time at which the response has ended
   * @return reader of the body
   */
  public BodyReader start(
      HttpServerRequest request,
      CallerConnection connection,
      int bodyLimit,
      Consumer<Instant> onEnd) {
    BodyReader reader = new BodyReader(request, bodyLimit, connection, memory);
    connection.recordRequestStart(reader, clock.instant());
    request
        .response()
        .endHandler(
            ended -> {
              Instant now = clock.instant();
              onEnd.accept(now);
              connection.recordRequestEnd(now);
              reader.release();
              // A request that has arrived behind this one is started first.
              vertx.runOnContext(ignored -> connection.releaseHead());
            });
    return reader;
  }

  /**
   * Returns the reader of the request that a connection handles. Requests of a connection are
   * handled one after another.
   *
   * @param connection connection whose request has started
   * @return reader of the body
   */
  public BodyReader currentReader(HttpConnection connection) {
    return Optional.ofNullable(connections.get(connection))
        .flatMap(CallerConnection::reader)
        .orElseThrow();
  }

  /**
   * Discards what arrives of the body of a request that has been answered, and closes the
   * connection if the body does not end. A close with unread bytes is a reset, and the caller could
   * lose the response.
   *
   * @param request request that has been answered
   * @param reader reader of its body
   * @param onEnd called when the body has ended
   */
  public void discardRest(HttpServerRequest request, BodyReader reader, Runnable onEnd) {
    reader.discardUnlessStarted();
    long timer = vertx.setTimer(DISCARD_MILLIS, elapsed -> request.connection().close());
    reader.whenEnded(
        () -> {
          vertx.cancelTimer(timer);
          onEnd.run();
        });
  }

  /**
   * Grants and refuses memory, and closes connections that exceed a limit. Called at intervals that
   * are shorter than {@link StopDetector} tolerates.
   */
  public void check() {
    Instant now = clock.instant();
    Duration stopped = stops.check(now);
    if (!stopped.isZero()) {
      memory.skipTime(stopped);
      connections.values().forEach(connection -> connection.skipTime(stopped, now));
    }
    memory.tick();
    tick(now);
  }

  private void tick(Instant now) {
    if (checkedAt.isAfter(now.minus(CHECK_INTERVAL))) {
      return;
    }
    checkedAt = now;
    List.copyOf(connections.values()).forEach(CallerConnection::retryRefused);
    List.copyOf(connections.values()).stream()
        .filter(connection -> connection.exceedsHeadTime(now))
        .forEach(connection -> close(connection, "head_time"));
    Duration longest = limits.progressTime().get();
    boolean exhausted = memory.isExhausted();
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

  /**
   * Returns whether a request has arrived, at least in part, that has not been started or read.
   *
   * @return whether there is such a request
   */
  public boolean hasUnfinishedRequest() {
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
    onClosed.accept(limit);
    LOG.info(
        "connection_closed",
        field("limit", limit),
        field("remote", connection.remoteAddress()),
        field("connections", connections.size()),
        field("held_bytes", memory.heldBytes()));
  }
}
