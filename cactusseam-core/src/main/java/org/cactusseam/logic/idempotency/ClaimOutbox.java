package org.cactusseam.logic.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.claim.ClaimBatch;
import org.cactusseam.model.claim.ClaimEntry;
import org.cactusseam.model.claim.ClaimId;

/**
 * Queue of the entries of this daemon that have not been read back from the log. Entries are
 * appended in batches at a bounded rate. After a failed append or one with an unknown result they
 * are retried until they are read back or withdrawn; duplicates are harmless, because {@link
 * ClaimIndex} ignores them.
 */
final class ClaimOutbox {

  /**
   * Minimum interval between appends, per daemon that appends to the stream. It limits all daemons
   * together to 200 appends per second.
   */
  private static final Duration APPEND_INTERVAL_PER_NODE = Duration.ofMillis(5);

  private static final Duration MIN_APPEND_INTERVAL = Duration.ofMillis(20);

  /**
   * Interval between appends while the log is unavailable; they only probe whether it is available
   * again.
   */
  private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

  /**
   * Maximum number of entries in a record. An entry has about 250 bytes, so a record stays below
   * the size limit of the log.
   */
  private static final int MAX_BATCH_ENTRIES = 500;

  private final Map<ClaimId, ClaimEntry> queued = new LinkedHashMap<>();
  private final Map<ClaimId, ClaimEntry> unconfirmed = new HashMap<>();
  private final Map<Long, List<ClaimEntry>> inFlight = new HashMap<>();
  private Instant nextFlush = Instant.MIN;
  private Duration interval = MIN_APPEND_INTERVAL;
  private long lastBatchNumber;

  /** A batch to append, with the sequence number by which its result is reported. */
  record NumberedBatch(long number, ClaimBatch batch) {}

  void setAppendingNodes(int nodes) {
    Duration requested = APPEND_INTERVAL_PER_NODE.multipliedBy(nodes);
    interval = requested.compareTo(MIN_APPEND_INTERVAL) > 0 ? requested : MIN_APPEND_INTERVAL;
  }

  /** Queues an entry; it replaces an earlier entry of the same attempt. */
  void add(ClaimEntry entry) {
    queued.remove(entry.id());
    queued.put(entry.id(), entry);
    unconfirmed.put(entry.id(), entry);
  }

  /** Queues an entry unless it is already queued or being appended. */
  void addIfAbsent(ClaimEntry entry) {
    if (!entry.equals(unconfirmed.get(entry.id()))) {
      add(entry);
    }
  }

  /**
   * Removes the entries of an attempt. An entry that was already sent may still appear in the log.
   */
  void removeEntriesOf(ClaimId id) {
    queued.remove(id);
    unconfirmed.remove(id);
  }

  /** Stops retrying an entry that was read back from the log. */
  void confirm(ClaimEntry entry) {
    if (entry.equals(unconfirmed.get(entry.id()))) {
      removeEntriesOf(entry.id());
    }
  }

  Optional<NumberedBatch> flush(Instant now, boolean logAvailable) {
    if (queued.isEmpty() || now.isBefore(nextFlush)) {
      return Optional.empty();
    }
    List<ClaimEntry> entries = queued.values().stream().limit(MAX_BATCH_ENTRIES).toList();
    entries.forEach(entry -> queued.remove(entry.id()));
    long number = ++lastBatchNumber;
    inFlight.put(number, entries);
    nextFlush = now.plus(logAvailable ? interval : PROBE_INTERVAL);
    return Optional.of(new NumberedBatch(number, new ClaimBatch(entries)));
  }

  Instant nextFlush() {
    return nextFlush;
  }

  boolean isEmpty() {
    return queued.isEmpty();
  }

  void succeeded(long batch) {
    inFlight.remove(batch);
  }

  /**
   * Requeues the entries of an append that failed or has an unknown result, except for those that
   * have been read back meanwhile. Returns the requeued entries.
   */
  List<ClaimEntry> failed(long batch) {
    List<ClaimEntry> entries = Optional.ofNullable(inFlight.remove(batch)).orElse(List.of());
    List<ClaimEntry> requeued = new ArrayList<>();
    for (ClaimEntry entry : entries) {
      if (entry.equals(unconfirmed.get(entry.id()))) {
        queued.putIfAbsent(entry.id(), entry);
        requeued.add(entry);
      }
    }
    return requeued;
  }
}
