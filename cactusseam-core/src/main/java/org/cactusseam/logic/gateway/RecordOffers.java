package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Records of the store that other gateways have and this one may lack. Answers the load pattern of
 * one change that all gateways read at the same moment: each of them passed the whole record on to
 * all others, which filled the links between regions for seconds. Now they only offer it, and a
 * gateway that has not read it itself a moment later fetches it from one of them.
 */
public final class RecordOffers {

  /** Time for the own read: gateways that wait for a change all get it within a few ms. */
  private static final Duration OWN_READ = Duration.ofMillis(200);

  /** Time for an answer, several round trips between regions (40 ms), before the next is asked. */
  private static final Duration ANSWER = Duration.ofMillis(400);

  /** Offers that nobody answers are forgotten; a subscription brings the record then. */
  private static final Duration KEPT = Duration.ofSeconds(10);

  private final Map<Key, Offer> offers = new HashMap<>();

  /**
   * What is offered.
   *
   * @param topic topic
   * @param key key
   * @param offset position in the topic
   */
  public record Offered(String topic, String key, long offset) {}

  /**
   * A record to ask a gateway for.
   *
   * @param node gateway
   * @param topic topic
   * @param key key
   */
  public record Fetch(String node, String topic, String key) {}

  /** Tells which records are known. */
  public interface KnownRecords {

    /**
     * Returns whether a record is known, or a newer one of its key.
     *
     * @param offered record
     * @return whether it need not be fetched
     */
    boolean isKnown(Offered offered);
  }

  private record Key(String topic, String key) {}

  private static final class Offer {
    private final long offset;
    private final Instant since;
    private final LinkedHashSet<String> untried = new LinkedHashSet<>();
    private Instant nextFetch;

    Offer(long offset, Instant now) {
      this.offset = offset;
      this.since = now;
      this.nextFetch = now.plus(OWN_READ);
    }
  }

  /**
   * A gateway offers a record.
   *
   * @param node gateway
   * @param offered record
   * @param now time
   */
  public void addOffer(String node, Offered offered, Instant now) {
    Key key = new Key(offered.topic(), offered.key());
    Offer known = offers.get(key);
    if (known == null || known.offset < offered.offset()) {
      known = new Offer(offered.offset(), now);
      offers.put(key, known);
    }
    if (known.offset == offered.offset()) {
      known.untried.add(node);
    }
  }

  /**
   * Returns what is to be fetched now.
   *
   * @param known tells which records are known
   * @param now time
   * @return one request at most for each record
   */
  public List<Fetch> takeDueFetches(KnownRecords known, Instant now) {
    offers
        .entrySet()
        .removeIf(
            entry ->
                known.isKnown(offered(entry.getKey(), entry.getValue()))
                    || entry.getValue().since.plus(KEPT).isBefore(now));
    List<Fetch> due = new ArrayList<>();
    offers.forEach(
        (key, offer) ->
            fetch(offer, now).ifPresent(node -> due.add(new Fetch(node, key.topic(), key.key()))));
    return due;
  }

  private static Offered offered(Key key, Offer offer) {
    return new Offered(key.topic(), key.key(), offer.offset);
  }

  private static Optional<String> fetch(Offer offer, Instant now) {
    if (now.isBefore(offer.nextFetch) || offer.untried.isEmpty()) {
      return Optional.empty();
    }
    offer.nextFetch = now.plus(ANSWER);
    return Optional.of(offer.untried.removeFirst());
  }
}
