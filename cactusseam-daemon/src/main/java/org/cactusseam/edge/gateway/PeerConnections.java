package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.net.NetSocket;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.peer.FrameReader;

/** Inbound connections of other gateways, with a bound on their number and on what they hold. */
final class PeerConnections {

  private static final StructuredLog LOG = StructuredLog.of(PeerConnections.class);

  /** Above the number of gateways of the design target, 800. */
  private static final int MAX_CONNECTIONS = 1_024;

  /**
   * Bytes of incomplete frames of all connections: eight of the longest frames. Most messages are
   * complete after one read.
   */
  private static final long MAX_PENDING_BYTES = 8 << 20;

  private final GatewayMetrics metrics;
  private final Map<NetSocket, FrameReader> connections = new LinkedHashMap<>();

  PeerConnections(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  /** Adds a connection. If there are too many, the oldest is closed; gateways connect again. */
  void open(NetSocket socket, FrameReader reader) {
    if (connections.size() >= MAX_CONNECTIONS) {
      close(connections.keySet().iterator().next(), "connections");
    }
    connections.put(socket, reader);
  }

  void remove(NetSocket socket) {
    connections.remove(socket);
  }

  /** Closes the connection that holds most if all together hold too much. */
  void checkPending(FrameReader changed) {
    if (changed.pendingBytes() == 0) {
      return;
    }
    long pending = 0;
    Map.Entry<NetSocket, FrameReader> largest = null;
    for (Map.Entry<NetSocket, FrameReader> each : connections.entrySet()) {
      pending += each.getValue().pendingBytes();
      if (largest == null || each.getValue().pendingBytes() > largest.getValue().pendingBytes()) {
        largest = each;
      }
    }
    if (largest != null && pending > MAX_PENDING_BYTES) {
      close(largest.getKey(), "frame_bytes");
    }
  }

  private void close(NetSocket socket, String limit) {
    connections.remove(socket);
    metrics.increment("cactusseam_peer_connections_closed_total{limit=\"" + limit + "\"}");
    LOG.warn(
        "peer_connection_closed", field("limit", limit), field("remote", socket.remoteAddress()));
    socket.close();
  }
}
