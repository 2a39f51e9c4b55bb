package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.Revision;
import org.cactusseam.model.gateway.StorePosition;
import org.cactusseam.model.gateway.StoreRecord;

/**
 * The latest known record of each key of the platform's store, and the only place that decides
 * which of two records is newer.
 *
 * <p>Within an era of the store, the offset decides. When the store has come back from an older
 * copy, it lists records that have been superseded and lacks others, until their writers have
 * written them again. For {@link #HOLD_TIME} after the return, the revision that the writer states
 * therefore decides between records of different eras, and a missing key is not a deleted one.
 * Afterwards the store is right.
 */
public final class LatestRecords {

  /**
   * Time within which operators and servers write again what the store has lost. Servers need about
   * 2 s; the rest allows for a store that answers slowly after its return.
   */
  public static final Duration HOLD_TIME = Duration.ofSeconds(10);

  private final Map<String, Map<String, Known>> topics = new HashMap<>();
  private final Revisions revisions;
  private long era = -1;
  private Instant heldUntil = Instant.MIN;

  /** Reads the revisions of records, whose encoding is that of the platform. */
  public interface Revisions {

    /**
     * Returns the revision that a record states.
     *
     * @param record record with a value
     * @return revision, or empty if records of this kind state none
     */
    Optional<Revision> read(StoreRecord record);
  }

  /**
   * What is known of a key.
   *
   * @param record latest record
   * @param lastValue latest record with a value; empty if there was none
   * @param seen highest position at which the key was read, also of a record that was not taken
   */
  private record Known(StoreRecord record, Optional<StoreRecord> lastValue, StorePosition seen) {}

  /**
   * Creates an empty collection.
   *
   * @param revisions reads the revisions that records state
   */
  public LatestRecords(Revisions revisions) {
    this.revisions = revisions;
  }

  /**
   * Records the era in which the store has answered this gateway or another one.
   *
   * @return whether the store has come back from an older copy since the last call
   */
  public boolean recordEra(long seen, Instant now) {
    if (seen <= era) {
      return false;
    }
    boolean isReturn = era >= 0;
    era = seen;
    // A process that has just started does not know whether the store has just returned.
    heldUntil = now.plus(HOLD_TIME);
    return isReturn;
  }

  /**
   * Adds a record if it is newer than the known one of its key.
   *
   * @return whether it was newer
   */
  public boolean put(StoreRecord record, Instant now) {
    recordEra(record.position().era(), now);
    Map<String, Known> topic = topics.computeIfAbsent(record.topic(), name -> new HashMap<>());
    Known known = topic.get(record.key());
    if (known == null) {
      topic.put(record.key(), new Known(record, withValue(record), record.position()));
      return true;
    }
    boolean isNewer = isNewer(record, known, now);
    boolean isRepeated =
        !isNewer && record.position().isAfter(known.seen()) && hasSameValue(record, known.record());
    StorePosition seen = record.position().isAfter(known.seen()) ? record.position() : known.seen();
    topic.put(
        record.key(),
        new Known(
            isNewer || isRepeated ? record : known.record(),
            isNewer ? withValue(record).or(known::lastValue) : known.lastValue(),
            seen));
    return isNewer;
  }

  private boolean isNewer(StoreRecord record, Known known, Instant now) {
    long recordEra = record.position().era();
    boolean isSameEra =
        recordEra == known.record().position().era() && recordEra == known.seen().era();
    if (isSameEra || !isHeld(now)) {
      return recordEra >= known.seen().era()
          && record.position().isAfter(known.record().position());
    }
    if (hasSameValue(record, known.record())) {
      return false;
    }
    Optional<Revision> stated = withValue(record).flatMap(revisions::read);
    Optional<Revision> before = known.lastValue().flatMap(revisions::read);
    if (stated.isPresent() && before.isPresent()) {
      int order = stated.get().compareTo(before.get());
      // Writers that do not count their records state the same revision for different values.
      if (order != 0 || hasSameValue(record, known.lastValue().get())) {
        return order > 0;
      }
    }
    return record.position().isAfter(known.seen());
  }

  private static Optional<StoreRecord> withValue(StoreRecord record) {
    return record.value().isPresent() ? Optional.of(record) : Optional.empty();
  }

  private static boolean hasSameValue(StoreRecord one, StoreRecord other) {
    return Arrays.equals(one.value().orElse(null), other.value().orElse(null));
  }

  private boolean isHeld(Instant now) {
    return now.isBefore(heldUntil);
  }

  /** Returns the latest known record of every key in all topics, in no particular order. */
  public List<StoreRecord> all() {
    return topics.values().stream()
        .flatMap(topic -> topic.values().stream())
        .map(Known::record)
        .toList();
  }

  /**
   * Returns the latest known record of a key.
   *
   * @return record, or empty if none is known
   */
  public Optional<StoreRecord> find(String topic, String key) {
    return findKnown(topic, key).map(Known::record);
  }

  /**
   * Returns whether a record need not be fetched. While records hold, one of an earlier era can be
   * newer than the one that the store lists.
   *
   * @param position position of the record
   * @return whether this record of the key or a newer one has been read
   */
  public boolean isKnown(String topic, String key, StorePosition position, Instant now) {
    return findKnown(topic, key).filter(known -> covers(known, position, now)).isPresent();
  }

  private boolean covers(Known known, StorePosition position, Instant now) {
    if (position.era() < known.seen().era() && isHeld(now)) {
      StorePosition taken = known.record().position();
      return position.era() == taken.era() && !position.isAfter(taken);
    }
    return !position.isAfter(known.seen());
  }

  private Optional<Known> findKnown(String topic, String key) {
    return Optional.ofNullable(topics.getOrDefault(topic, Map.of()).get(key));
  }

  /**
   * Returns the records that hold although the store has lost them. A gateway that starts now
   * cannot read them there.
   */
  public List<StoreRecord> held(Instant now) {
    if (!isHeld(now)) {
      return List.of();
    }
    return all().stream().filter(record -> record.position().era() < era).toList();
  }

  /**
   * Returns the keys of a topic that are deleted, because a complete listing does not contain them.
   * The listing can be older than a record that another gateway has sent; such a record is kept.
   *
   * @param listed keys in the listing
   * @param end position of the last record before the listing
   * @param isHolding whether keys of an earlier era are kept while their writers may write them
   *     again
   * @return records without a value, to be added
   */
  public List<StoreRecord> deleted(
      String topic, Set<String> listed, StorePosition end, boolean isHolding, Instant now) {
    return topics.getOrDefault(topic, Map.of()).values().stream()
        .filter(known -> known.record().value().isPresent())
        .filter(known -> !listed.contains(known.record().key()))
        .filter(known -> end.isAfter(known.seen()))
        .filter(known -> !isHolding || !isHeld(now) || known.record().position().era() == end.era())
        .map(known -> new StoreRecord(topic, known.record().key(), end, Optional.empty()))
        .toList();
  }
}
