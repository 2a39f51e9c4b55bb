package org.cactusseam.edge.peer;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.time.Instant;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.message.PeerMessage;
import org.jspecify.annotations.Nullable;

/** Connection to one peer that carries messages to it. The link reconnects until it is stopped. */
final class PeerLink {

  private static final StructuredLog LOG = StructuredLog.of(PeerLink.class);
  private static final long RECONNECT_INTERVAL_MILLIS = 250;

  /** Limit of the write queue. The connection to a peer that does not read is closed beyond it. */
  private static final int MAXIMUM_WRITE_QUEUE_BYTES = 4 << 20;

  private final Vertx vertx;
  private final NetClient client;
  private final PeerNetwork network;
  private final NodeName node;
  private final String host;
  private final int port;
  private @Nullable NetSocket openSocket;
  private Instant lastSentAt = Instant.MIN;
  private boolean stopped;

  PeerLink(
      Vertx vertx, NetClient client, PeerNetwork network, NodeName node, String host, int port) {
    this.vertx = vertx;
    this.client = client;
    this.network = network;
    this.node = node;
    this.host = host;
    this.port = port;
  }

  boolean isConnectionTo(String otherHost, int otherPort) {
    return host.equals(otherHost) && port == otherPort;
  }

  PeerLink start() {
    Instant attemptedAt = network.clock().instant();
    client
        .connect(port, host)
        .onSuccess(this::startHandshake)
        .onFailure(cause -> handleConnectFailure(attemptedAt, cause));
    return this;
  }

  /** Closes the connection, so that the link opens a new one. */
  void reconnect() {
    if (openSocket != null) {
      openSocket.close();
    }
  }

  void stop() {
    stopped = true;
    if (openSocket != null) {
      openSocket.close();
    }
  }

  boolean isIdleSince(Instant limit) {
    return !lastSentAt.isAfter(limit);
  }

  boolean send(PeerMessage message) {
    return send(PeerCodec.encode(message));
  }

  /** Sends an encoded frame, which may be shared between peers. */
  boolean send(Buffer frame) {
    NetSocket socket = openSocket;
    if (socket == null) {
      return false;
    }
    if (socket.writeQueueFull()) {
      LOG.warn("peer_not_reading", field("peer", node));
      socket.close();
      return false;
    }
    socket.write(frame);
    lastSentAt = network.clock().instant();
    return true;
  }

  private void startHandshake(NetSocket socket) {
    if (stopped) {
      socket.close();
      return;
    }
    PeerMessage.Hello own = network.createHello();
    PeerHandshake handshake = network.createHandshake(own);
    socket.setWriteQueueMaxSize(MAXIMUM_WRITE_QUEUE_BYTES);
    socket.exceptionHandler(cause -> socket.close());
    socket.closeHandler(ignored -> handleClosed(socket));
    socket.handler(
        new FrameReader(
            value ->
                PeerCodec.decode(value)
                    .onSuccess(message -> handleHandshakeMessage(socket, handshake, message))
                    .onFailure(cause -> socket.close()),
            fault -> socket.close()));
    socket.write(PeerCodec.encode(own));
  }

  private void handleHandshakeMessage(
      NetSocket socket, PeerHandshake handshake, PeerMessage message) {
    handshake
        .receive(message)
        .peek(reply -> reply.ifPresent(answer -> socket.write(PeerCodec.encode(answer))))
        .peekLeft(reason -> socket.close());
    if (handshake.isOpen() && openSocket == null) {
      openSocket = socket;
      handshake.other().ifPresent(other -> network.listener().connected(other.member()));
    }
  }

  private void handleConnectFailure(Instant attemptedAt, Throwable cause) {
    if (cause instanceof ConnectException && isConnectionRefused(cause)) {
      network.listener().refused(node, attemptedAt);
    }
    scheduleReconnect();
  }

  private static boolean isConnectionRefused(Throwable cause) {
    return String.valueOf(cause.getMessage()).contains("refused");
  }

  private void handleClosed(NetSocket socket) {
    if (openSocket == socket) {
      openSocket = null;
    }
    scheduleReconnect();
  }

  private void scheduleReconnect() {
    if (!stopped) {
      vertx.setTimer(
          RECONNECT_INTERVAL_MILLIS,
          timer -> {
            if (!stopped) {
              start();
            }
          });
    }
  }
}
