package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.peer.FrameReader;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.logic.gateway.LoadBroadcastPolicy;
import org.cactusseam.logic.gateway.PeerReachability;
import org.cactusseam.logic.gateway.ServerLoads;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Exchange with the other gateways: each tells the load that it has placed, and passes records of
 * the store on to those that cannot read it.
 */
final class GatewayPeers {

  private static final StructuredLog LOG = StructuredLog.of(GatewayPeers.class);

  /** Time between two signs of life to a peer that tells its loads; a link waits 4 s for one. */
  private static final Duration CONFIRMATION = Duration.ofMillis(900);

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Half-open connections are closed when messages stop arriving. */
  private static final int IDLE_TIMEOUT_SECONDS = 10;

  private final Gateway gateway;
  private final RecordCache relay;
  private final NetServer server;
  private final NetClient client;
  private final Map<String, GatewayPeerLink> links = new TreeMap<>();
  private final LoadBroadcastPolicy news = new LoadBroadcastPolicy();
  private final PeerReachability presence = new PeerReachability();
  private final RecordReplicator records;

  GatewayPeers(Gateway gateway, RecordCache relay) {
    this.gateway = gateway;
    this.relay = relay;
    this.server =
        gateway
            .vertx()
            .createNetServer(
                new NetServerOptions().setTcpNoDelay(true).setIdleTimeout(IDLE_TIMEOUT_SECONDS))
            .connectHandler(this::accept);
    this.client =
        gateway
            .vertx()
            .createNetClient(
                new NetClientOptions()
                    .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                    .setTcpNoDelay(true));
    this.records =
        new RecordReplicator(gateway.clock(), gateway.settings().node(), relay, new Connected());
    // After the present callback: a run that continues elsewhere changes two servers at once.
    gateway
        .loads()
        .onPrefillChange(
            () -> gateway.vertx().runOnContext(ignored -> sendLoads(gateway.clock().instant())));
  }

  Future<Void> listen() {
    GatewaySettings settings = gateway.settings();
    return server.listen(settings.peerPort(), settings.host()).mapEmpty();
  }

  void connect(String node, String host, int port, String failureDomain) {
    GatewayPeerLink known = links.get(node);
    if (node.equals(gateway.settings().node()) || (known != null && known.leadsTo(host, port))) {
      return;
    }
    if (known != null) {
      known.stop();
    }
    GatewayPeerLink link =
        new GatewayPeerLink(
            gateway.vertx(), gateway.clock(), client, presence, node, host, port, failureDomain);
    links.put(node, link);
    presence.recordDiscovered(node, gateway.clock().instant());
    link.dial();
  }

  void tick(Instant now) {
    gateway.setVmCount(presence.sharingCount(now) + 1);
    relay.setGatewayCount(presence.connectedCount() + 1);
    sendLoads(now);
    records.tick(now);
  }

  private void sendLoads(Instant now) {
    Map<String, ServerLoads.ServerLoad> loads = gateway.loads().own();
    int others = presence.connectedCount();
    if (news.isDue(loads, others, now)) {
      news.recordBroadcast(loads, others, now);
      Buffer frame =
          GatewayMessageCodec.encode(new GatewayMessage.Loads(gateway.settings().node(), loads));
      links.values().forEach(link -> link.send(frame));
    }
  }

  /** Tells the other gateways what an engine has reported; its entry may say so later or never. */
  void tellDeparture(ServerInstance server) {
    Buffer frame =
        GatewayMessageCodec.encode(
            new GatewayMessage.ServerDeparture(server.id(), server.startedAtMillis()));
    links.values().forEach(link -> link.send(frame));
  }

  private void accept(NetSocket socket) {
    socket.exceptionHandler(cause -> socket.close());
    DialledBy peer = new DialledBy(socket);
    socket.handler(
        new FrameReader(
            frame ->
                GatewayMessageCodec.decode(frame)
                    .onSuccess(peer::receive)
                    .onFailure(cause -> reject(socket, String.valueOf(cause.getMessage()))),
            fault -> reject(socket, fault)));
  }

  private void reject(NetSocket socket, String reason) {
    LOG.warn(
        "peer_message_rejected", field("remote", socket.remoteAddress()), field("reason", reason));
    socket.close();
  }

  /** A connection that another gateway has dialled. */
  private final class DialledBy {

    private final NetSocket socket;
    private Instant confirmedAt = Instant.MIN;

    DialledBy(NetSocket socket) {
      this.socket = socket;
    }

    void receive(GatewayMessage message) {
      switch (message) {
        case GatewayMessage.Loads loads -> {
          Instant now = gateway.clock().instant();
          gateway.loads().setPeerLoads(loads.node(), loads.loads(), now);
          confirm(now);
        }
        case GatewayMessage.RecordsRequest wanted -> records.wanted(wanted);
        case GatewayMessage.RecordsAccepted follow -> records.follow(follow);
        case GatewayMessage.RecordOffer offered -> records.offered(offered);
        case GatewayMessage.RecordFetch fetch -> records.fetch(fetch);
        case GatewayMessage.RecordUpdate relayed -> records.relayed(relayed);
        case GatewayMessage.ServerDeparture departure -> departureTold(departure);
        case GatewayMessage.LoadsAck received -> {
          // Only dialled connections carry it; the link counts it as a sign of life.
        }
      }
    }

    private void confirm(Instant now) {
      if (confirmedAt.equals(Instant.MIN) || confirmedAt.plus(CONFIRMATION).isBefore(now)) {
        confirmedAt = now;
        socket.write(GatewayMessageCodec.encode(new GatewayMessage.LoadsAck()));
      }
    }
  }

  private void departureTold(GatewayMessage.ServerDeparture departure) {
    gateway
        .servers()
        .find(departure.serverId())
        .filter(server -> server.startedAtMillis() == departure.bornMillis())
        .ifPresent(server -> gateway.recordDeparture(server, LeavingServers.Source.REPORTED));
  }

  /** The gateways with an open connection. */
  private final class Connected implements RecordReplicator.Peers {

    @Override
    public List<String> connected() {
      return links.entrySet().stream()
          .filter(link -> link.getValue().isOpen())
          .map(Map.Entry::getKey)
          .toList();
    }

    @Override
    public boolean isOwnRegion(String node) {
      GatewayPeerLink link = links.get(node);
      return link != null && gateway.settings().location().isOwnRegion(link.failureDomain());
    }

    @Override
    public void send(Collection<String> nodes, GatewayMessage message) {
      if (nodes.isEmpty()) {
        return;
      }
      Buffer frame = GatewayMessageCodec.encode(message);
      for (String node : nodes) {
        GatewayPeerLink link = links.get(node);
        if (link != null) {
          link.send(frame);
        }
      }
    }
  }
}
