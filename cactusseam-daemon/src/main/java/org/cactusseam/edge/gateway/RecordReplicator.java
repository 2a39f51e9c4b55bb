package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.RecordOffers;
import org.cactusseam.logic.gateway.RecordSource;
import org.cactusseam.model.gateway.StoreRecord;

/**
 * Passes records of the store on between gateways: changes to all of them, everything to those that
 * cannot read the store. Nothing large is sent to a gateway that may have it already.
 */
final class RecordReplicator {

  private static final StructuredLog LOG = StructuredLog.of(RecordReplicator.class);

  /** Time between two requests for records. */
  private static final Duration WANTED_INTERVAL = Duration.ofMillis(700);

  /** Records are passed on for this long after each request for them. */
  private static final Duration SUBSCRIPTION = Duration.ofMillis(2_000);

  /** Longest value that is sent without a request: entries of servers have some 300 bytes. */
  private static final int LONGEST_UNASKED_BYTES = 2_048;

  /**
   * Gateways of the own region, and of the others, to which a record is offered. All of the grown
   * deployments (32 in a region); with more, offers grow with the gateways, not with their square.
   */
  private static final int OFFERS = 40;

  private final Clock clock;
  private final String self;
  private final RecordCache relay;
  private final Peers peers;
  private final Map<String, Instant> subscribers = new HashMap<>();
  private final RecordOffers offers = new RecordOffers();
  private final RecordSource source = new RecordSource();
  private Instant wantedAt = Instant.MIN;

  /** The connected gateways. */
  interface Peers {

    /**
     * Returns the gateways that can be told something.
     *
     * @return names
     */
    List<String> connected();

    /**
     * Returns whether a gateway stands in the own region.
     *
     * @param node its name
     * @return whether messages to it stay within the region
     */
    boolean isOwnRegion(String node);

    /**
     * Sends a message to some gateways.
     *
     * @param nodes names
     * @param message message
     */
    void send(Collection<String> nodes, GatewayMessage message);
  }

  RecordReplicator(Clock clock, String self, RecordCache relay, Peers peers) {
    this.clock = clock;
    this.self = self;
    this.relay = relay;
    this.peers = peers;
    relay.onRead(this::passOn);
  }

  void tick(Instant now) {
    subscribers.values().removeIf(until -> until.isBefore(now));
    for (RecordOffers.Fetch fetch : offers.takeDueFetches(this::isKnown, now)) {
      LOG.info("record_fetched", field("key", fetch.key()), field("from", fetch.node()));
      send(fetch.node(), new GatewayMessage.RecordFetch(self, fetch.topic(), fetch.key()));
    }
    if (relay.isStoreAway() && wantedAt.plus(WANTED_INTERVAL).isBefore(now)) {
      wantedAt = now;
      source
          .next(ownRegionFirst(), now)
          .ifPresent(node -> send(node, new GatewayMessage.RecordsRequest(self)));
    }
  }

  private boolean isKnown(RecordOffers.Offered offered) {
    return relay
        .newest(offered.topic(), offered.key())
        .filter(known -> known.offset() >= offered.offset())
        .isPresent();
  }

  private List<String> ownRegionFirst() {
    List<String> nodes = new ArrayList<>(peers.connected());
    // Not all of them start with the same one.
    nodes.sort(Comparator.comparingInt(node -> (node + self).hashCode()));
    nodes.sort(Comparator.comparing(node -> !peers.isOwnRegion(node)));
    return nodes;
  }

  /** Passes a record on; an urgent one is a change that all should know before their next read. */
  private void passOn(StoreRecord record, boolean urgent) {
    GatewayMessage.RecordUpdate whole = new GatewayMessage.RecordUpdate(record);
    boolean isLong =
        record.value().filter(value -> value.length > LONGEST_UNASKED_BYTES).isPresent();
    if (urgent && !isLong) {
      peers.send(peers.connected(), whole);
      return;
    }
    peers.send(subscribers.keySet(), whole);
    if (urgent) {
      offer(record);
    }
  }

  private void offer(StoreRecord record) {
    GatewayMessage.RecordOffer offer =
        new GatewayMessage.RecordOffer(self, record.topic(), record.key(), record.offset());
    peers.send(offeredTo(record.offset(), true), offer);
    peers.send(offeredTo(record.offset(), false), offer);
  }

  /** Chooses other gateways for each record, so that each one gets about as many offers. */
  private List<String> offeredTo(long offset, boolean ownRegion) {
    return peers.connected().stream()
        .filter(node -> peers.isOwnRegion(node) == ownRegion && !subscribers.containsKey(node))
        .sorted(Comparator.comparingInt(node -> (node + self + offset).hashCode()))
        .limit(OFFERS)
        .toList();
  }

  private void send(String node, GatewayMessage message) {
    peers.send(List.of(node), message);
  }

  void wanted(GatewayMessage.RecordsRequest wanted) {
    if (relay.isStoreAway()) {
      return;
    }
    send(wanted.node(), new GatewayMessage.RecordsAccepted(self));
    Instant until = clock.instant().plus(SUBSCRIPTION);
    if (subscribers.put(wanted.node(), until) == null) {
      LOG.info("records_passed_on", field("to", wanted.node()));
      relay
          .newest()
          .forEach(record -> send(wanted.node(), new GatewayMessage.RecordUpdate(record)));
    }
  }

  void follow(GatewayMessage.RecordsAccepted follow) {
    source.answered(follow.node(), clock.instant());
  }

  void relayed(GatewayMessage.RecordUpdate relayed) {
    relay.relayed(relayed.record());
  }

  void offered(GatewayMessage.RecordOffer offered) {
    offers.addOffer(
        offered.node(),
        new RecordOffers.Offered(offered.topic(), offered.key(), offered.offset()),
        clock.instant());
  }

  void fetch(GatewayMessage.RecordFetch fetch) {
    relay
        .newest(fetch.topic(), fetch.key())
        .ifPresent(record -> send(fetch.node(), new GatewayMessage.RecordUpdate(record)));
  }
}
