package org.cactusseam.edge.peer;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.net.NetSocket;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.model.message.PeerMessage;

/** Connection opened by a peer, which carries messages from the peer to this daemon. */
final class InboundConnection {

  private static final StructuredLog LOG = StructuredLog.of(InboundConnection.class);

  private final NetSocket socket;
  private final PeerHandshake handshake;
  private final PeerListener listener;

  InboundConnection(NetSocket socket, PeerHandshake handshake, PeerListener listener) {
    this.socket = socket;
    this.handshake = handshake;
    this.listener = listener;
  }

  void start() {
    socket.exceptionHandler(cause -> socket.close());
    socket.handler(new FrameReader(this::handleFrame, this::reject));
  }

  private void handleFrame(byte[] value) {
    PeerCodec.decode(value)
        .onSuccess(this::handleMessage)
        .onFailure(cause -> reject("frame without a known message"));
  }

  private void handleMessage(PeerMessage message) {
    if (handshake.isOpen()) {
      handshake.other().ifPresent(other -> listener.received(other.member(), message));
      return;
    }
    handshake
        .receive(message)
        .peek(reply -> reply.ifPresent(answer -> socket.write(PeerCodec.encode(answer))))
        .peekLeft(this::reject);
  }

  private void reject(String reason) {
    LOG.warn(
        "peer_connection_rejected",
        field("remote", socket.remoteAddress()),
        field("reason", reason));
    socket.close();
  }
}
