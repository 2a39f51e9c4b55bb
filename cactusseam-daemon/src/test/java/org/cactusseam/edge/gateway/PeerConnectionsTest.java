package org.cactusseam.edge.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.cactusseam.edge.peer.FrameReader;
import org.junit.jupiter.api.Test;

/** Guards against peers that use up memory or descriptors by connections or incomplete frames. */
class PeerConnectionsTest {

  private static final int MAX_CONNECTIONS = 1_024;
  private static final int FRAME_BYTES = 1 << 20;

  private final GatewayMetrics metrics = new GatewayMetrics();
  private final PeerConnections connections = new PeerConnections(metrics);
  private final List<Integer> closed = new ArrayList<>();

  private NetSocket socket(int number) {
    return (NetSocket)
        Proxy.newProxyInstance(
            NetSocket.class.getClassLoader(),
            new Class<?>[] {NetSocket.class},
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "hashCode" -> number;
                  case "equals" -> proxy == arguments[0];
                  case "close" -> {
                    closed.add(number);
                    yield null;
                  }
                  default -> null;
                });
  }

  private static FrameReader reader() {
    return new FrameReader(frame -> {}, fault -> {});
  }

  /** Opens a connection that has sent a part of a frame. */
  private void openWithPart(int number, int bytes) {
    FrameReader reader = reader();
    connections.open(socket(number), reader);
    reader.handle(Buffer.buffer().appendInt(FRAME_BYTES).appendBytes(new byte[bytes]));
    connections.checkPending(reader);
  }

  /** Guards against a number of connections that grows with what peers open. */
  @Test
  void the_oldest_connection_is_closed_when_there_are_too_many() {
    for (int number = 0; number < MAX_CONNECTIONS; number++) {
      connections.open(socket(number), reader());
    }
    assertThat(closed, empty());

    connections.open(socket(MAX_CONNECTIONS), reader());
    assertThat(closed, contains(0));
    assertThat(metrics.exposition(), containsString("{limit=\"connections\"} 1"));
  }

  /** Guards against incomplete frames of many connections that each are within the limit. */
  @Test
  void the_connection_that_holds_most_is_closed_when_all_hold_too_much() {
    openWithPart(0, FRAME_BYTES - 100);
    openWithPart(1, FRAME_BYTES - 1);
    for (int number = 2; number < 8; number++) {
      openWithPart(number, FRAME_BYTES - 100);
    }
    assertThat(closed, empty());

    openWithPart(8, FRAME_BYTES / 2);
    assertThat(closed, contains(1));
    assertThat(metrics.exposition(), containsString("{limit=\"frame_bytes\"} 1"));
  }
}
