package org.cactusseam.edge.peer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.message.PeerMessage;

/**
 * Manages the connections to all other entry daemons. Each side opens a connection to the other and
 * sends messages only on the connection that it opened. Runs on the control thread, including the
 * socket I/O, because control traffic is small.
 */
public final class PeerNetwork {

  /**
   * Time without messages after which a peer counts as idle. Leaves time for one late call of
   * {@link #sendToIdle} before the idle timeout of the peer.
   */
  static final Duration KEEP_ALIVE = Duration.ofSeconds(4);

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int IDLE_TIMEOUT_SECONDS = 10;

  private final Vertx vertx;
  private final Clock clock;
  private final PeerKey peerKey;
  private final String cluster;
  private Member self;
  private final PeerListener listener;
  private final NetClient client;
  private final NetServer server;
  private final Map<NodeName, PeerLink> links = new HashMap<>();

  /**
   * Creates a network without peers.
   *
   * @param vertx Vert.x instance; the constructor must be called on the control thread
   * @param clock source of the current time
   * @param clusterKey shared secret of the deployment
   * @param cluster name of the deployment
   * @param self description of this daemon, sent in its hello
   * @param listener receives messages and connection events
   */
  public PeerNetwork(
      Vertx vertx,
      Clock clock,
      byte[] clusterKey,
      String cluster,
      Member self,
      PeerListener listener) {
    this.vertx = vertx;
    this.clock = clock;
    this.peerKey = new PeerKey(clusterKey);
    this.cluster = cluster;
    this.self = self;
    this.listener = listener;
    this.client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
    // Closes half-open connections, on which pings stop arriving.
    this.server =
        vertx.createNetServer(
            new NetServerOptions().setTcpNoDelay(true).setIdleTimeout(IDLE_TIMEOUT_SECONDS));
  }

  /**
   * Starts to accept connections from peers.
   *
   * @return completes when the port is open
   */
  public Future<Void> listen() {
    return server.connectHandler(this::accept).listen(self.peerPort(), self.host()).mapEmpty();
  }

  /**
   * Closes all connections and stops accepting new ones.
   *
   * @return completes when the port is closed
   */
  public Future<Void> close() {
    links.values().forEach(PeerLink::stop);
    links.clear();
    return server.close().compose(done -> client.close());
  }

  /**
   * Connects to a peer and reconnects whenever the connection is lost. A new address replaces the
   * previous one. Has no effect for this daemon itself.
   *
   * @param node name of the entry daemon
   * @param host IP address
   * @param port port for messages between entry daemons
   */
  public void connect(NodeName node, String host, int port) {
    if (node.equals(self.node())) {
      return;
    }
    PeerLink known = links.get(node);
    if (known != null && known.isConnectionTo(host, port)) {
      return;
    }
    if (known != null) {
      known.stop();
    }
    links.put(node, new PeerLink(vertx, client, this, node, host, port).start());
  }

  /**
   * Changes the boot id of this daemon and reconnects to all peers, so that they receive a hello
   * with the new id.
   *
   * @param updated description of this daemon with the new boot id
   */
  public void updateSelf(Member updated) {
    self = updated;
    links.values().forEach(PeerLink::reconnect);
  }

  /**
   * Closes the connection to a peer and stops reconnecting.
   *
   * @param node name of the entry daemon
   */
  public void disconnect(NodeName node) {
    PeerLink link = links.remove(node);
    if (link != null) {
      link.stop();
    }
  }

  /**
   * Sends a message to a peer, without guarantee of delivery. The message is dropped if there is no
   * open connection.
   *
   * @param node name of the receiver
   * @param message message to send
   * @return true if the message was written to an open connection
   */
  public boolean send(NodeName node, PeerMessage message) {
    PeerLink link = links.get(node);
    return link != null && link.send(message);
  }

  /**
   * Sends a message to all connected peers. It is encoded once.
   *
   * @param message message to send
   */
  public void sendToAll(PeerMessage message) {
    Buffer frame = PeerCodec.encode(message);
    links.values().forEach(link -> link.send(frame));
  }

  /**
   * Sends a keep-alive message to the peers that were sent nothing for {@link #KEEP_ALIVE}.
   * Otherwise they would close the connection as half-open.
   *
   * @param message message to send
   */
  public void sendToIdle(PeerMessage message) {
    Instant limit = clock.instant().minus(KEEP_ALIVE);
    List<PeerLink> idle = links.values().stream().filter(link -> link.isIdleSince(limit)).toList();
    if (!idle.isEmpty()) {
      Buffer frame = PeerCodec.encode(message);
      idle.forEach(link -> link.send(frame));
    }
  }

  /**
   * Returns the peers that this daemon connects to.
   *
   * @return names of the peers, including those without an open connection
   */
  public Set<NodeName> peers() {
    return new TreeSet<>(links.keySet());
  }

  PeerMessage.Hello createHello() {
    return new PeerMessage.Hello(
        PeerMessage.PROTOCOL_VERSION, cluster, self, peerKey.createChallenge());
  }

  PeerHandshake createHandshake(PeerMessage.Hello own) {
    return new PeerHandshake(peerKey, own);
  }

  Clock clock() {
    return clock;
  }

  PeerListener listener() {
    return listener;
  }

  private void accept(NetSocket socket) {
    PeerMessage.Hello own = createHello();
    socket.write(PeerCodec.encode(own));
    new InboundConnection(socket, createHandshake(own), listener).start();
  }
}
