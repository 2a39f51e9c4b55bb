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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.peer.FrameReader;
import org.cactusseam.logic.gateway.Departures;
import org.cactusseam.logic.gateway.LoadBoard;
import org.cactusseam.logic.gateway.LoadNews;
import org.cactusseam.logic.gateway.PeerPresence;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.StoreRecord;

/**
 * Exchange with the other gateways: each tells the load that it has placed, and passes records of
 * the store on to those that cannot read it.
 */
final class GatewayPeers {

  private static final StructuredLog LOG = StructuredLog.of(GatewayPeers.class);

  /** Time between two requests for records. */
  private static final Duration WANTED_INTERVAL = Duration.ofMillis(700);

  /** Records are passed on for this long after each request for them. */
  private static final Duration SUBSCRIPTION = Duration.ofMillis(2_000);

  /** Time between two signs of life to a peer that tells its loads; a link waits 4 s for one. */
  private static final Duration CONFIRMATION = Duration.ofMillis(900);

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Half-open connections are closed when messages stop arriving. */
  private static final int IDLE_TIMEOUT_SECONDS = 10;

  private final Gateway gateway;
  private final RecordRelay relay;
  private final NetServer server;
  private final NetClient client;
  private final Map<String, GatewayPeerLink> links = new TreeMap<>();
  private final Map<String, Instant> subscribers = new HashMap<>();
  private final LoadNews news = new LoadNews();
  private final PeerPresence presence = new PeerPresence();
  private Instant wantedAt = Instant.MIN;
  private int wantedFrom;

  GatewayPeers(Gateway gateway, RecordRelay relay) {
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
    relay.onRead(this::passOn);
    // After the present callback: a run that continues elsewhere changes two servers at once.
    gateway
        .loads()
        .onPromptChange(
            () -> gateway.vertx().runOnContext(ignored -> sendLoads(gateway.clock().instant())));
  }

  Future<Void> listen() {
    GatewaySettings settings = gateway.settings();
    return server.listen(settings.peerPort(), settings.host()).mapEmpty();
  }

  void connect(String node, String host, int port) {
    GatewayPeerLink known = links.get(node);
    if (node.equals(gateway.settings().node()) || (known != null && known.leadsTo(host, port))) {
      return;
    }
    if (known != null) {
      known.stop();
    }
    GatewayPeerLink link =
        new GatewayPeerLink(gateway.vertx(), gateway.clock(), client, presence, node, host, port);
    links.put(node, link);
    presence.found(node, gateway.clock().instant());
    link.dial();
  }

  void tick(Instant now) {
    gateway.vms(presence.sharing(now) + 1);
    relay.gateways(presence.connectedCount() + 1);
    sendLoads(now);
    subscribers.values().removeIf(until -> until.isBefore(now));
    if (relay.isStoreAway() && wantedAt.plus(WANTED_INTERVAL).isBefore(now)) {
      wantedAt = now;
      askForRecords();
    }
  }

  private void sendLoads(Instant now) {
    Map<String, LoadBoard.ServerLoad> loads = gateway.loads().own();
    int others = presence.connectedCount();
    if (news.isDue(loads, others, now)) {
      news.told(loads, others, now);
      Buffer frame =
          GatewayMessageCodec.encode(new GatewayMessage.Loads(gateway.settings().node(), loads));
      links.values().forEach(link -> link.send(frame));
    }
  }

  /** Asks one peer after the other, because some of them may be turned away as well. */
  private void askForRecords() {
    List<GatewayPeerLink> open =
        new ArrayList<>(links.values().stream().filter(GatewayPeerLink::isOpen).toList());
    if (!open.isEmpty()) {
      Buffer frame =
          GatewayMessageCodec.encode(new GatewayMessage.RecordsWanted(gateway.settings().node()));
      open.get(Math.floorMod(wantedFrom++, open.size())).send(frame);
    }
  }

  /**
   * Passes a record on: an urgent one to all, so that a change is known after the shortest of all
   * pauses between reads, any other to those that cannot read the store.
   */
  private void passOn(StoreRecord record, boolean urgent) {
    if (!urgent && subscribers.isEmpty()) {
      return;
    }
    Buffer frame = GatewayMessageCodec.encode(new GatewayMessage.Relayed(record));
    if (urgent) {
      links.values().forEach(link -> link.send(frame));
    } else {
      subscribers.keySet().forEach(node -> send(node, frame));
    }
  }

  /** Tells the other gateways what an engine has reported; its entry may say so later or never. */
  void tellDeparture(ServerInstance server) {
    Buffer frame =
        GatewayMessageCodec.encode(new GatewayMessage.Departure(server.id(), server.bornMillis()));
    links.values().forEach(link -> link.send(frame));
  }

  private void send(String node, Buffer frame) {
    GatewayPeerLink link = links.get(node);
    if (link != null) {
      link.send(frame);
    }
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
          gateway.loads().peerLoads(loads.node(), loads.loads(), now);
          confirm(now);
        }
        case GatewayMessage.RecordsWanted wanted -> subscribe(wanted.node());
        case GatewayMessage.Relayed relayed -> relay.relayed(relayed.record());
        case GatewayMessage.Departure departure -> departureTold(departure);
        case GatewayMessage.Received received -> {
          // Only dialled connections carry it; the link counts it as a sign of life.
        }
      }
    }

    private void confirm(Instant now) {
      if (confirmedAt.equals(Instant.MIN) || confirmedAt.plus(CONFIRMATION).isBefore(now)) {
        confirmedAt = now;
        socket.write(GatewayMessageCodec.encode(new GatewayMessage.Received()));
      }
    }
  }

  private void departureTold(GatewayMessage.Departure departure) {
    gateway
        .servers()
        .find(departure.serverId())
        .filter(server -> server.bornMillis() == departure.bornMillis())
        .ifPresent(server -> gateway.noticeDeparture(server, Departures.Sign.REPORTED));
  }

  private void subscribe(String node) {
    if (relay.isStoreAway()) {
      return;
    }
    Instant until = gateway.clock().instant().plus(SUBSCRIPTION);
    if (subscribers.put(node, until) == null) {
      LOG.info("records_passed_on", field("to", node));
      for (StoreRecord record : relay.newest()) {
        send(node, GatewayMessageCodec.encode(new GatewayMessage.Relayed(record)));
      }
    }
  }
}
