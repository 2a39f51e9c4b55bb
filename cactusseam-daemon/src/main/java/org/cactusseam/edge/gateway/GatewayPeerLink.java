package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.peer.FrameReader;
import org.cactusseam.logic.gateway.PeerReachability;
import org.jspecify.annotations.Nullable;

/**
 * The connection that this gateway dials to another one, and dials again when it breaks or falls
 * silent: a connection can go silent for good without a reset.
 */
final class GatewayPeerLink {

  private static final StructuredLog LOG = StructuredLog.of(GatewayPeerLink.class);

  /** Several message intervals. */
  private static final Duration SILENCE = Duration.ofSeconds(4);

  private static final long RETRY_MILLIS = 700;

  /** A peer that does not read for as long as this many bytes loses the connection. */
  private static final int WRITE_QUEUE_BYTES = 2 << 20;

  private final Vertx vertx;
  private final Clock clock;
  private final NetClient client;
  private final String node;
  private final PeerReachability presence;
  private final String host;
  private final int port;
  private final String failureDomain;
  private @Nullable NetSocket open;
  private Instant heardAt;
  private boolean stopped;

  GatewayPeerLink(
      Vertx vertx,
      Clock clock,
      NetClient client,
      PeerReachability presence,
      String node,
      String host,
      int port,
      String failureDomain) {
    this.vertx = vertx;
    this.clock = clock;
    this.client = client;
    this.presence = presence;
    this.node = node;
    this.host = host;
    this.port = port;
    this.failureDomain = failureDomain;
    this.heardAt = clock.instant();
  }

  boolean leadsTo(String otherHost, int otherPort) {
    return host.equals(otherHost) && port == otherPort;
  }

  String failureDomain() {
    return failureDomain;
  }

  boolean isOpen() {
    return open != null;
  }

  void dial() {
    if (!stopped) {
      client.connect(port, host).onSuccess(this::connected).onFailure(cause -> retry());
    }
  }

  void stop() {
    stopped = true;
    NetSocket socket = open;
    if (socket != null) {
      // Before its close handler runs, which could come after the next link has connected.
      open = null;
      presence.recordDisconnected(node, clock.instant());
      socket.close();
    }
  }

  private void connected(NetSocket socket) {
    if (stopped) {
      socket.close();
      return;
    }
    open = socket;
    presence.recordConnected(node);
    heardAt = clock.instant();
    socket.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
    socket.exceptionHandler(cause -> socket.close());
    socket.handler(new FrameReader(frame -> heardAt = clock.instant(), fault -> socket.close()));
    socket.closeHandler(
        closed -> {
          if (open == socket) {
            open = null;
            presence.recordDisconnected(node, clock.instant());
            LOG.info("peer_lost", field("peer", node));
            retry();
          }
        });
    LOG.info("peer_connected", field("peer", node));
  }

  private void retry() {
    vertx.setTimer(RETRY_MILLIS, timer -> dial());
  }

  private void close() {
    if (open != null) {
      open.close();
    }
  }

  void send(Buffer frame) {
    if (open == null) {
      return;
    }
    if (open.writeQueueFull() || heardAt.plus(SILENCE).isBefore(clock.instant())) {
      LOG.warn("peer_silent", field("peer", node));
      close();
      return;
    }
    open.write(frame);
  }
}
