package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.gateway.StorePosition;

/**
 * Tracks long records of the store that other gateways offer and that this one may lack. All
 * gateways read a change at the same moment; if each of them forwarded the whole record to all
 * others, the links between regions would be saturated for seconds. Gateways therefore only offer
 * it, and one that has not read it itself shortly afterwards fetches it from one of them.
 */
public final class RecordOffers {

  /**
   * Time for the gateway's own read: all gateways that long-poll for a change get it within a few
   * ms.
   */
  private static final Duration OWN_READ_DELAY = Duration.ofMillis(200);

  /**
   * Time for an answer before the next gateway is asked; several round trips between regions (40
   * ms).
   */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);

  /**
   * Age at which unanswered offers expire. The record then arrives through a subscription to the
   * records of another gateway.
   */
  private static final Duration RETENTION = Duration.ofSeconds(10);

  private final Map<Key, Offer> offers = new HashMap<>();

  /**
   * A record that a gateway offers.
   *
   * @param topic topic of the record
   * @param key key of the record
   * @param position position in the topic
   */
  public record Offered(String topic, String key, StorePosition position) {}

  /**
   * A request to fetch a record from a gateway.
   *
   * @param node name of the gateway
   * @param topic topic of the record
   * @param key key of the record
   */
  public record Fetch(String node, String topic, String key) {}

  /** Tells which records this gateway already has. */
  public interface KnownRecords {

    /**
     * Returns whether this gateway has a record, or a newer one with the same key.
     *
     * @param offered record that is offered
     * @return whether it need not be fetched
     */
    boolean isKnown(Offered offered);
  }

  private record Key(String topic, String key) {}

  private static final class Offer {
    private final StorePosition position;
    private final Instant firstOfferedAt;
    private final LinkedHashSet<String> untried = new LinkedHashSet<>();
    private Instant nextFetch;

    Offer(StorePosition position, Instant now) {
      this.position = position;
      this.firstOfferedAt = now;
      this.nextFetch = now.plus(OWN_READ_DELAY);
    }
  }

  /**
   * Adds the offer of a gateway. An offer with a later position replaces the older offers of the
   * key.
   *
   * @param offered record that is offered
   */
  public void addOffer(String node, Offered offered, Instant now) {
    Key key = new Key(offered.topic(), offered.key());
    Offer known = offers.get(key);
    if (known == null || offered.position().isAfter(known.position)) {
      known = new Offer(offered.position(), now);
      offers.put(key, known);
    }
    if (known.position.equals(offered.position())) {
      known.untried.add(node);
    }
  }

  /**
   * Returns the fetches that are due now, and counts them as sent. Drops offers that are known or
   * expired.
   *
   * @param known tells which records this gateway already has
   * @return at most one fetch per record
   */
  public List<Fetch> takeDueFetches(KnownRecords known, Instant now) {
    if (offers.isEmpty()) {
      return List.of();
    }
    offers
        .entrySet()
        .removeIf(
            entry ->
                known.isKnown(offered(entry.getKey(), entry.getValue()))
                    || entry.getValue().firstOfferedAt.plus(RETENTION).isBefore(now));
    List<Fetch> due = new ArrayList<>();
    offers.forEach(
        (key, offer) ->
            fetch(offer, now).ifPresent(node -> due.add(new Fetch(node, key.topic(), key.key()))));
    return due;
  }

  private static Offered offered(Key key, Offer offer) {
    return new Offered(key.topic(), key.key(), offer.position);
  }

  private static Optional<String> fetch(Offer offer, Instant now) {
    if (now.isBefore(offer.nextFetch) || offer.untried.isEmpty()) {
      return Optional.empty();
    }
    offer.nextFetch = now.plus(ANSWER_TIMEOUT);
    return Optional.of(offer.untried.removeFirst());
  }
}
