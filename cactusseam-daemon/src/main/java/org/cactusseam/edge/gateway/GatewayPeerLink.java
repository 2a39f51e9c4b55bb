package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.peer.FrameReader;
import org.cactusseam.logic.gateway.PeerReachability;
import org.jspecify.annotations.Nullable;

/**
 * Outbound connection to another gateway. Reconnects when the connection breaks or no frame arrives
 * for too long, because a connection can stall forever without a reset.
 */
final class GatewayPeerLink {

  private static final StructuredLog LOG = StructuredLog.of(GatewayPeerLink.class);

  /**
   * The connection is closed if nothing was received for this time, which covers several message
   * intervals.
   */
  private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(6);

  private static final long RECONNECT_DELAY_MILLIS = 700;

  /** The connection is closed when the peer does not read and this many bytes are queued for it. */
  private static final int MAX_WRITE_QUEUE_BYTES = 2 << 20;

  private final Vertx vertx;
  private final Clock clock;
  private final NetClient client;
  private final String node;
  private final PeerReachability reachability;
  private final String host;
  private final int port;
  private final String failureDomain;
  private final Supplier<Buffer> greeting;
  private @Nullable NetSocket openSocket;
  private Instant lastReceivedAt;
  private boolean stopped;

  GatewayPeerLink(
      Vertx vertx,
      Clock clock,
      NetClient client,
      PeerReachability reachability,
      String node,
      String host,
      int port,
      String failureDomain,
      Supplier<Buffer> greeting) {
    this.vertx = vertx;
    this.clock = clock;
    this.client = client;
    this.reachability = reachability;
    this.node = node;
    this.host = host;
    this.port = port;
    this.failureDomain = failureDomain;
    this.greeting = greeting;
    this.lastReceivedAt = clock.instant();
  }

  boolean isConnectionTo(String otherHost, int otherPort) {
    return host.equals(otherHost) && port == otherPort;
  }

  String failureDomain() {
    return failureDomain;
  }

  boolean isOpen() {
    return openSocket != null;
  }

  void dial() {
    if (!stopped) {
      client
          .connect(port, host)
          .onSuccess(this::onConnected)
          .onFailure(cause -> scheduleReconnect());
    }
  }

  void stop() {
    stopped = true;
    NetSocket socket = openSocket;
    if (socket != null) {
      // Done before the close handler runs, which could be after the next link has connected.
      openSocket = null;
      reachability.recordDisconnected(node, clock.instant());
      socket.close();
    }
  }

  private void onConnected(NetSocket socket) {
    if (stopped) {
      socket.close();
      return;
    }
    openSocket = socket;
    reachability.recordConnected(node);
    lastReceivedAt = clock.instant();
    socket.setWriteQueueMaxSize(MAX_WRITE_QUEUE_BYTES);
    socket.exceptionHandler(cause -> socket.close());
    socket.handler(
        new FrameReader(frame -> lastReceivedAt = clock.instant(), fault -> socket.close()));
    socket.closeHandler(
        closed -> {
          if (openSocket == socket) {
            openSocket = null;
            reachability.recordDisconnected(node, clock.instant());
            LOG.info("peer_lost", field("peer", node));
            scheduleReconnect();
          }
        });
    LOG.info("peer_connected", field("peer", node));
    // The peer has dropped the loads that came on the connection before.
    socket.write(greeting.get());
  }

  private void scheduleReconnect() {
    vertx.setTimer(RECONNECT_DELAY_MILLIS, timer -> dial());
  }

  private void close() {
    if (openSocket != null) {
      openSocket.close();
    }
  }

  void send(Buffer frame) {
    if (openSocket == null) {
      return;
    }
    if (openSocket.writeQueueFull()
        || lastReceivedAt.plus(RECEIVE_TIMEOUT).isBefore(clock.instant())) {
      LOG.warn("peer_silent", field("peer", node));
      close();
      return;
    }
    openSocket.write(frame);
  }
}
