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
 * Statements of this node that its reader has not met in the log yet. They leave in batches at a
 * bounded rate and are sent again after a failed or ambiguous append until they are read back or
 * withdrawn; copies are harmless, because the index recognises them.
 */
final class ClaimOutbox {

  /** Interval for each appending node: the fleet makes at most 200 appends per second. */
  private static final Duration INTERVAL_PER_NODE = Duration.ofMillis(5);

  private static final Duration MINIMUM_INTERVAL = Duration.ofMillis(20);

  /** Time between appends while the log is unavailable; they only test whether it is back. */
  private static final Duration UNAVAILABLE_INTERVAL = Duration.ofSeconds(1);

  /** Keeps a record below the size limits of the log; an entry has about 250 bytes. */
  private static final int MAXIMUM_ENTRIES = 500;

  private final Map<ClaimId, ClaimEntry> waiting = new LinkedHashMap<>();
  private final Map<ClaimId, ClaimEntry> unread = new HashMap<>();
  private final Map<Long, List<ClaimEntry>> inFlight = new HashMap<>();
  private Instant nextFlush = Instant.MIN;
  private Duration interval = MINIMUM_INTERVAL;
  private long batches;

  /** A batch to append. */
  record Numbered(long number, ClaimBatch batch) {}

  void appendingNodes(int nodes) {
    Duration wanted = INTERVAL_PER_NODE.multipliedBy(nodes);
    interval = wanted.compareTo(MINIMUM_INTERVAL) > 0 ? wanted : MINIMUM_INTERVAL;
  }

  /** Queues a statement in place of an earlier one about the same attempt. */
  void add(ClaimEntry entry) {
    waiting.remove(entry.id());
    waiting.put(entry.id(), entry);
    unread.put(entry.id(), entry);
  }

  /** Queues a statement unless it is already queued or under way. */
  void ensure(ClaimEntry entry) {
    if (!entry.equals(unread.get(entry.id()))) {
      add(entry);
    }
  }

  /** Stops sending statements about an attempt; one that was sent may still appear. */
  void withdraw(ClaimId id) {
    waiting.remove(id);
    unread.remove(id);
  }

  /** Notes that a statement was read from the log. */
  void read(ClaimEntry entry) {
    if (entry.equals(unread.get(entry.id()))) {
      withdraw(entry.id());
    }
  }

  Optional<Numbered> flush(Instant now, boolean logAvailable) {
    if (waiting.isEmpty() || now.isBefore(nextFlush)) {
      return Optional.empty();
    }
    List<ClaimEntry> entries = waiting.values().stream().limit(MAXIMUM_ENTRIES).toList();
    entries.forEach(entry -> waiting.remove(entry.id()));
    long number = ++batches;
    inFlight.put(number, entries);
    nextFlush = now.plus(logAvailable ? interval : UNAVAILABLE_INTERVAL);
    return Optional.of(new Numbered(number, new ClaimBatch(entries)));
  }

  Instant nextFlush() {
    return nextFlush;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  void succeeded(long batch) {
    inFlight.remove(batch);
  }

  /** Queues again what a failed or ambiguous append carried and what was not read meanwhile. */
  List<ClaimEntry> failed(long batch) {
    List<ClaimEntry> entries = Optional.ofNullable(inFlight.remove(batch)).orElse(List.of());
    List<ClaimEntry> again = new ArrayList<>();
    for (ClaimEntry entry : entries) {
      if (entry.equals(unread.get(entry.id()))) {
        waiting.putIfAbsent(entry.id(), entry);
        again.add(entry);
      }
    }
    return again;
  }
}
