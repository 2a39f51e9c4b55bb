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

/** Connection that this daemon dials and dials again: carries messages to one peer. */
final class PeerLink {

  private static final StructuredLog LOG = StructuredLog.of(PeerLink.class);
  private static final long RETRY_MILLIS = 250;

  /** A peer that does not read for as long as this many bytes loses the connection. */
  private static final int WRITE_QUEUE_BYTES = 4 << 20;

  private final Vertx vertx;
  private final NetClient client;
  private final PeerNetwork network;
  private final NodeName node;
  private final String host;
  private final int port;
  private @Nullable NetSocket open;
  private Instant sentAt = Instant.MIN;
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
        .onSuccess(this::connected)
        .onFailure(cause -> failed(attemptedAt, cause));
    return this;
  }

  /** Closes the connection; the loss makes the link dial again. */
  void reconnect() {
    if (open != null) {
      open.close();
    }
  }

  void stop() {
    stopped = true;
    if (open != null) {
      open.close();
    }
  }

  boolean isIdleSince(Instant limit) {
    return !sentAt.isAfter(limit);
  }

  boolean send(PeerMessage message) {
    return send(PeerCodec.encode(message));
  }

  /** Sends a frame that may go to several peers. */
  boolean send(Buffer frame) {
    NetSocket socket = open;
    if (socket == null) {
      return false;
    }
    if (socket.writeQueueFull()) {
      LOG.warn("peer_not_reading", field("peer", node));
      socket.close();
      return false;
    }
    socket.write(frame);
    sentAt = network.clock().instant();
    return true;
  }

  private void connected(NetSocket socket) {
    if (stopped) {
      socket.close();
      return;
    }
    PeerMessage.Hello own = network.hello();
    PeerHandshake handshake = network.handshake(own);
    socket.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
    socket.exceptionHandler(cause -> socket.close());
    socket.closeHandler(ignored -> lost(socket));
    socket.handler(
        new FrameReader(
            value ->
                PeerCodec.decode(value)
                    .onSuccess(message -> handshakeMessage(socket, handshake, message))
                    .onFailure(cause -> socket.close()),
            fault -> socket.close()));
    socket.write(PeerCodec.encode(own));
  }

  private void handshakeMessage(NetSocket socket, PeerHandshake handshake, PeerMessage message) {
    handshake
        .receive(message)
        .peek(reply -> reply.ifPresent(answer -> socket.write(PeerCodec.encode(answer))))
        .peekLeft(reason -> socket.close());
    if (handshake.isOpen() && open == null) {
      open = socket;
      handshake.other().ifPresent(other -> network.listener().connected(other.member()));
    }
  }

  private void failed(Instant attemptedAt, Throwable cause) {
    if (cause instanceof ConnectException && isRefusal(cause)) {
      network.listener().refused(node, attemptedAt);
    }
    retry();
  }

  private static boolean isRefusal(Throwable cause) {
    return String.valueOf(cause.getMessage()).contains("refused");
  }

  private void lost(NetSocket socket) {
    if (open == socket) {
      open = null;
    }
    retry();
  }

  private void retry() {
    if (!stopped) {
      vertx.setTimer(
          RETRY_MILLIS,
          timer -> {
            if (!stopped) {
              start();
            }
          });
    }
  }
}
