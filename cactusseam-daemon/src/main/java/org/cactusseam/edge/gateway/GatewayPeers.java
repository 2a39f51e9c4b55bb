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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.peer.FrameReader;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.logic.gateway.LoadBroadcastPolicy;
import org.cactusseam.logic.gateway.PeerReachability;
import org.cactusseam.logic.gateway.ServerLoads;
import org.cactusseam.logic.rollout.RolloutReport;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.quarantine.Suspicions;

/**
 * Communication with the other gateways: each sends the load that it has placed on servers, and
 * forwards records of the store to those that cannot read it.
 */
final class GatewayPeers {

  private static final StructuredLog LOG = StructuredLog.of(GatewayPeers.class);

  /**
   * Minimum interval between acknowledgements to a peer that sends its loads, at most every 3 s if
   * they do not change. Without one for 6 s, the peer closes the connection.
   */
  private static final Duration MIN_ACK_INTERVAL = Duration.ofMillis(1_500);

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Closes half-open connections, on which no messages arrive. */
  private static final int IDLE_TIMEOUT_SECONDS = 10;

  private final Gateway gateway;
  private final RecordCache recordCache;
  private final NetServer server;
  private final NetClient client;
  private final Map<String, GatewayPeerLink> links = new TreeMap<>();

  /** Latest connection on which each peer has sent its loads. */
  private final Map<String, InboundConnection> loadSources = new HashMap<>();

  private final LoadBroadcastPolicy broadcastPolicy = new LoadBroadcastPolicy();
  private final PeerReachability reachability = new PeerReachability();
  private final RecordReplicator replicator;
  private final PeerConnections inbound;
  private Consumer<RolloutReport> reportReceiver = report -> {};

  GatewayPeers(Gateway gateway, RecordCache recordCache) {
    this.gateway = gateway;
    this.recordCache = recordCache;
    this.inbound = new PeerConnections(gateway.metrics());
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
    this.replicator =
        new RecordReplicator(
            gateway.clock(), gateway.settings().node(), recordCache, new ConnectedPeers());
    gateway.setDepartureListener(server -> broadcast(statedDeparture(server)));
    gateway.quarantine().setPeerBroadcast(changes -> broadcast(quarantineUpdate(changes)));
    // Sent after the current callback, because a run that continues on another server changes the
    // load of two servers at once.
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
    if (node.equals(gateway.settings().node())) {
      gateway.recordGatewayListRead();
      return;
    }
    GatewayPeerLink known = links.get(node);
    if (known != null && known.isConnectionTo(host, port)) {
      return;
    }
    if (known != null) {
      known.stop();
    }
    GatewayPeerLink link =
        new GatewayPeerLink(
            gateway.vertx(),
            gateway.clock(),
            client,
            reachability,
            node,
            host,
            port,
            failureDomain,
            this::encodeGreeting);
    links.put(node, link);
    reachability.recordDiscovered(node, gateway.clock().instant());
    link.dial();
  }

  void tick(Instant now) {
    reachability.tick(now);
    gateway.setVmCount(reachability.sharingCount(now) + 1);
    int peerCount = reachability.connectedCount();
    gateway.loads().tick(LoadBroadcastPolicy.expiry(peerCount), now);
    recordCache.setGatewayCount(peerCount + 1);
    if (reachability.takeLostPeer()) {
      recordCache.onPeerLost();
    }
    sendLoads(now);
    replicator.tick(now);
  }

  private void sendLoads(Instant now) {
    Map<String, ServerLoads.ServerLoad> loads = gateway.loads().own();
    int others = reachability.connectedCount();
    if (broadcastPolicy.isDue(loads, others, now)) {
      broadcastPolicy.recordBroadcast(loads, others, now);
      Buffer frame = encodeLoads();
      links.values().forEach(link -> link.send(frame));
    }
  }

  private Buffer encodeLoads() {
    return GatewayMessageCodec.encode(
        new GatewayMessage.Loads(
            gateway.settings().node(),
            gateway.loads().own(),
            gateway.paces().ownStatements(gateway.clock().instant())));
  }

  /** Encodes what a peer needs that has lost all state or has missed messages. */
  private Buffer encodeGreeting() {
    Buffer greeting = encodeLoads();
    if (gateway.quarantine().isActive()) {
      greeting.appendBuffer(
          GatewayMessageCodec.encode(quarantineUpdate(gateway.quarantine().state())));
    }
    gateway
        .leavingServers()
        .stated()
        .forEach(
            server -> greeting.appendBuffer(GatewayMessageCodec.encode(statedDeparture(server))));
    replicator
        .greeting()
        .forEach(message -> greeting.appendBuffer(GatewayMessageCodec.encode(message)));
    return greeting;
  }

  private GatewayMessage quarantineUpdate(Suspicions suspicions) {
    return new GatewayMessage.QuarantineUpdate(gateway.settings().node(), suspicions);
  }

  /**
   * Notifies the other gateways of a departure that an engine has reported. The entry of the engine
   * may show it later or never.
   */
  void broadcastDeparture(ServerInstance server) {
    broadcast(new GatewayMessage.ServerDeparture(server.id(), server.startedAtMillis(), false));
  }

  private static GatewayMessage statedDeparture(ServerInstance server) {
    return new GatewayMessage.ServerDeparture(server.id(), server.startedAtMillis(), true);
  }

  /** Returns the other gateways, as roll-outs need them. */
  RolloutPeers rolloutPeers(Consumer<RolloutReport> receiver) {
    reportReceiver = receiver;
    return new ConnectedPeers();
  }

  private void broadcast(GatewayMessage message) {
    Buffer frame = GatewayMessageCodec.encode(message);
    links.values().forEach(link -> link.send(frame));
  }

  private void accept(NetSocket socket) {
    socket.exceptionHandler(cause -> socket.close());
    InboundConnection peer = new InboundConnection(socket);
    FrameReader reader =
        new FrameReader(
            frame ->
                GatewayMessageCodec.decode(frame)
                    .onSuccess(peer::receive)
                    .onFailure(cause -> reject(socket, String.valueOf(cause.getMessage()))),
            fault -> reject(socket, fault));
    inbound.open(socket, reader);
    socket.closeHandler(
        closed -> {
          inbound.remove(socket);
          onInboundClosed(peer);
        });
    socket.handler(
        bytes -> {
          reader.handle(bytes);
          inbound.checkPending(reader);
        });
  }

  /** Drops the loads of a peer whose connection has ended, unless it has opened another one. */
  private void onInboundClosed(InboundConnection closed) {
    if (loadSources.values().remove(closed)) {
      gateway.loads().removePeer(closed.node);
    }
  }

  private void reject(NetSocket socket, String reason) {
    LOG.warn(
        "peer_message_rejected", field("remote", socket.remoteAddress()), field("reason", reason));
    socket.close();
  }

  /** A connection opened by another gateway. */
  private final class InboundConnection {

    private final NetSocket socket;
    private String node = "";
    private Instant acknowledgedAt = Instant.MIN;

    InboundConnection(NetSocket socket) {
      this.socket = socket;
    }

    void receive(GatewayMessage message) {
      switch (message) {
        case GatewayMessage.Loads loads -> {
          Instant now = gateway.clock().instant();
          node = loads.node();
          loadSources.put(node, this);
          gateway.loads().setPeerLoads(node, loads.loads(), now);
          gateway.paces().recordPeerStatements(loads.paces(), now);
          acknowledge(now);
        }
        case GatewayMessage.RecordsRequest request -> replicator.onRequest(request);
        case GatewayMessage.RecordsAccepted accepted -> replicator.onAccepted(accepted);
        case GatewayMessage.RecordOffer offer -> replicator.onOffer(offer);
        case GatewayMessage.RecordFetch fetch -> replicator.onFetch(fetch);
        case GatewayMessage.RecordUpdate update -> replicator.onUpdate(update);
        case GatewayMessage.ServerDeparture departure -> onDeparture(departure);
        case GatewayMessage.QuarantineUpdate update ->
            gateway.quarantine().merge(update.node(), update.suspicions());
        case GatewayMessage.RolloutEvidence evidence -> reportReceiver.accept(evidence.report());
        case GatewayMessage.RolloutUpdate update -> gateway.rollouts().onState(update.state());
        case GatewayMessage.RolloutHold hold ->
            gateway.rollouts().hold(hold.service(), hold.orderId(), hold.reason());
        case GatewayMessage.LoadsAck ack -> {
          // Arrives only on outbound connections, where the link counts it as a sign of life.
        }
      }
    }

    private void acknowledge(Instant now) {
      if (acknowledgedAt.equals(Instant.MIN)
          || acknowledgedAt.plus(MIN_ACK_INTERVAL).isBefore(now)) {
        acknowledgedAt = now;
        socket.write(GatewayMessageCodec.encode(new GatewayMessage.LoadsAck()));
      }
    }
  }

  private void onDeparture(GatewayMessage.ServerDeparture departure) {
    gateway
        .servers()
        .find(departure.serverId())
        .filter(server -> server.startedAtMillis() == departure.startedAtMillis())
        .ifPresent(
            server -> {
              if (departure.isStated()) {
                gateway.recordStatedDeparture(server);
              } else {
                gateway.recordDeparture(server, LeavingServers.Source.REPORTED);
              }
            });
  }

  /** The gateways to which this one has an open connection. */
  private final class ConnectedPeers implements RecordReplicator.Peers, RolloutPeers {

    @Override
    public List<String> members() {
      return reachability.sharing(gateway.clock().instant());
    }

    @Override
    public List<String> awaited() {
      return Stream.concat(
              reachability.possiblyPartitioned(gateway.clock().instant()).stream(),
              connected().stream())
          .distinct()
          .toList();
    }

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
