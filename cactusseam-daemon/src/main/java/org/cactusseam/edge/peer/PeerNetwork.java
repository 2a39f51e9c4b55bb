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
 * Connections to all other entry daemons. Each side dials the other and sends only on the
 * connection that it dialled. Runs on the control thread; sockets do their work there because
 * control traffic is small.
 */
public final class PeerNetwork {

  /** Leaves time for one late call of {@link #sendToIdle} before the idle timeout of the peer. */
  static final Duration KEEP_ALIVE = Duration.ofSeconds(4);

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int IDLE_TIMEOUT_SECONDS = 10;

  private final Vertx vertx;
  private final Clock clock;
  private final PeerKey key;
  private final String cluster;
  private Member self;
  private final PeerListener listener;
  private final NetClient client;
  private final NetServer server;
  private final Map<NodeName, PeerLink> links = new HashMap<>();

  /**
   * Creates a network without peers.
   *
   * @param vertx event loops; the caller is on the control thread
   * @param clock source of time
   * @param clusterKey shared secret of the deployment
   * @param cluster name of the deployment
   * @param self description of this daemon
   * @param listener receiver of messages
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
    this.key = new PeerKey(clusterKey);
    this.cluster = cluster;
    this.self = self;
    this.listener = listener;
    this.client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
    // Half-open connections are closed when pings stop arriving.
    this.server =
        vertx.createNetServer(
            new NetServerOptions().setTcpNoDelay(true).setIdleTimeout(IDLE_TIMEOUT_SECONDS));
  }

  /**
   * Accepts connections.
   *
   * @return completes when the port is open
   */
  public Future<Void> listen() {
    return server.connectHandler(this::accept).listen(self.peerPort(), self.host()).mapEmpty();
  }

  /**
   * Stops all connections.
   *
   * @return completes when the port is closed
   */
  public Future<Void> close() {
    links.values().forEach(PeerLink::stop);
    links.clear();
    return server.close().compose(done -> client.close());
  }

  /**
   * Connects to a peer and stays connected. A later address replaces an earlier one.
   *
   * @param node entry daemon
   * @param host IP address
   * @param port peer port
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
   * Greets all peers with a new boot identity.
   *
   * @param renamed description of the new run
   */
  public void rename(Member renamed) {
    self = renamed;
    links.values().forEach(PeerLink::reconnect);
  }

  /**
   * Stops connecting to a peer.
   *
   * @param node entry daemon
   */
  public void disconnect(NodeName node) {
    PeerLink link = links.remove(node);
    if (link != null) {
      link.stop();
    }
  }

  /**
   * Sends a message. It is lost if there is no open connection; the sender must not rely on it.
   *
   * @param node receiver
   * @param message message
   * @return whether the message was handed to an open connection
   */
  public boolean send(NodeName node, PeerMessage message) {
    PeerLink link = links.get(node);
    return link != null && link.send(message);
  }

  /**
   * Sends a message to all peers. It is encoded once.
   *
   * @param message message
   */
  public void sendToAll(PeerMessage message) {
    Buffer frame = PeerCodec.encode(message);
    links.values().forEach(link -> link.send(frame));
  }

  /**
   * Sends a message to the peers that were sent nothing for {@link #KEEP_ALIVE}. Without it they
   * would close the connection as half-open.
   *
   * @param message message
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
   * @return names, also of those without an open connection
   */
  public Set<NodeName> peers() {
    return new TreeSet<>(links.keySet());
  }

  PeerMessage.Hello hello() {
    return new PeerMessage.Hello(PeerMessage.PROTOCOL_VERSION, cluster, self, key.challenge());
  }

  PeerHandshake handshake(PeerMessage.Hello own) {
    return new PeerHandshake(key, own);
  }

  Clock clock() {
    return clock;
  }

  PeerListener listener() {
    return listener;
  }

  private void accept(NetSocket socket) {
    PeerMessage.Hello own = hello();
    socket.write(PeerCodec.encode(own));
    new InboundConnection(socket, handshake(own), listener).start();
  }
}
