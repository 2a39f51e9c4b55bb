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
 * Replicates records of the store between gateways: changes to all of them, and every record to
 * those that cannot read the store. A large record is offered before it is sent, because the
 * receiver may have read it already.
 */
final class RecordReplicator {

  private static final StructuredLog LOG = StructuredLog.of(RecordReplicator.class);

  /** Interval between two subscription requests of a gateway that cannot read the store. */
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(700);

  /** Duration of a subscription. Each request renews it. */
  private static final Duration SUBSCRIPTION_DURATION = Duration.ofMillis(2_000);

  /** Longest value that is sent without an offer. Entries of servers have some 300 bytes. */
  private static final int MAX_UNOFFERED_VALUE_BYTES = 2_048;

  /**
   * Maximum number of gateways in the own region, and again in the other regions, to which a record
   * is offered. Covers every gateway of the scaled-up deployments (32 in a region). Beyond that,
   * the number of offers grows linearly with the number of gateways, not quadratically.
   */
  private static final int MAX_OFFERS = 40;

  private final Clock clock;
  private final String self;
  private final RecordCache recordCache;
  private final Peers peers;
  private final Map<String, Instant> subscribers = new HashMap<>();
  private final RecordOffers offers = new RecordOffers();
  private final RecordSource source = new RecordSource();
  private Instant requestedAt = Instant.MIN;

  /** The other gateways with an open connection. */
  interface Peers {

    /**
     * Returns the gateways that messages can be sent to.
     *
     * @return names of the gateways
     */
    List<String> connected();

    /**
     * Returns whether a gateway is in the region of this one.
     *
     * @param node name of the gateway
     * @return whether messages to it stay within the region
     */
    boolean isOwnRegion(String node);

    /**
     * Sends a message to several gateways. Gateways without a connection are skipped.
     *
     * @param nodes names of the receivers
     * @param message message to send
     */
    void send(Collection<String> nodes, GatewayMessage message);
  }

  RecordReplicator(Clock clock, String self, RecordCache recordCache, Peers peers) {
    this.clock = clock;
    this.self = self;
    this.recordCache = recordCache;
    this.peers = peers;
    recordCache.setReceiver(this::replicate);
  }

  void tick(Instant now) {
    subscribers.values().removeIf(until -> until.isBefore(now));
    for (RecordOffers.Fetch fetch : offers.takeDueFetches(this::isKnown, now)) {
      LOG.info("record_fetched", field("key", fetch.key()), field("from", fetch.node()));
      send(fetch.node(), new GatewayMessage.RecordFetch(self, fetch.topic(), fetch.key()));
    }
    if (recordCache.isStoreUnavailable() && requestedAt.plus(REQUEST_INTERVAL).isBefore(now)) {
      requestedAt = now;
      source
          .next(ownRegionFirst(), now)
          .ifPresent(node -> send(node, new GatewayMessage.RecordsRequest(self)));
    }
  }

  private boolean isKnown(RecordOffers.Offered offered) {
    return recordCache.isKnown(offered.topic(), offered.key(), offered.position());
  }

  private List<String> ownRegionFirst() {
    List<String> nodes = new ArrayList<>(peers.connected());
    // The order depends on the name of this gateway, so that not all gateways ask the same one
    // first.
    nodes.sort(Comparator.comparingInt(node -> (node + self).hashCode()));
    nodes.sort(Comparator.comparing(node -> !peers.isOwnRegion(node)));
    return nodes;
  }

  /**
   * Replicates a record. An urgent one is a change that all gateways should have before their next
   * read.
   */
  private void replicate(StoreRecord record, boolean urgent) {
    GatewayMessage.RecordUpdate update = new GatewayMessage.RecordUpdate(record);
    if (urgent && !isLarge(record)) {
      peers.send(peers.connected(), update);
      return;
    }
    peers.send(subscribers.keySet(), update);
    if (urgent) {
      offer(record);
    }
  }

  /**
   * Returns messages for a gateway whose connection has just been opened. If it has just started,
   * the store does not show it the records that the store has lost.
   */
  List<GatewayMessage> greeting() {
    return recordCache.held().stream()
        .map(record -> isLarge(record) ? toOffer(record) : new GatewayMessage.RecordUpdate(record))
        .toList();
  }

  private static boolean isLarge(StoreRecord record) {
    return record.value().filter(value -> value.length > MAX_UNOFFERED_VALUE_BYTES).isPresent();
  }

  private GatewayMessage toOffer(StoreRecord record) {
    return new GatewayMessage.RecordOffer(self, record.topic(), record.key(), record.position());
  }

  private void offer(StoreRecord record) {
    GatewayMessage offer = toOffer(record);
    long offset = record.position().offset();
    peers.send(offerReceivers(offset, true), offer);
    peers.send(offerReceivers(offset, false), offer);
  }

  /** Chooses a different set of gateways for each record, so that offers are spread evenly. */
  private List<String> offerReceivers(long offset, boolean ownRegion) {
    return peers.connected().stream()
        .filter(node -> peers.isOwnRegion(node) == ownRegion && !subscribers.containsKey(node))
        .sorted(Comparator.comparingInt(node -> (node + self + offset).hashCode()))
        .limit(MAX_OFFERS)
        .toList();
  }

  private void send(String node, GatewayMessage message) {
    peers.send(List.of(node), message);
  }

  void onRequest(GatewayMessage.RecordsRequest request) {
    if (recordCache.isStoreUnavailable()) {
      return;
    }
    send(request.node(), new GatewayMessage.RecordsAccepted(self));
    Instant until = clock.instant().plus(SUBSCRIPTION_DURATION);
    if (subscribers.put(request.node(), until) == null) {
      LOG.info("records_passed_on", field("to", request.node()));
      recordCache
          .latest()
          .forEach(record -> send(request.node(), new GatewayMessage.RecordUpdate(record)));
    }
  }

  void onAccepted(GatewayMessage.RecordsAccepted accepted) {
    source.answered(accepted.node(), clock.instant());
  }

  void onUpdate(GatewayMessage.RecordUpdate update) {
    recordCache.apply(update.record());
  }

  void onOffer(GatewayMessage.RecordOffer offer) {
    offers.addOffer(
        offer.node(),
        new RecordOffers.Offered(offer.topic(), offer.key(), offer.position()),
        clock.instant());
  }

  void onFetch(GatewayMessage.RecordFetch fetch) {
    recordCache
        .latest(fetch.topic(), fetch.key())
        .ifPresent(record -> send(fetch.node(), new GatewayMessage.RecordUpdate(record)));
  }
}
