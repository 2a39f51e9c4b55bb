package org.cactusseam.logic.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cactusseam.model.control.ControlRecord;

/**
 * Builds the control state of a starting node from the retained records of the log and the newest
 * usable snapshot among them.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class ControlStateLoader {

  /** Reasons why the log alone does not yield the state. */
  public enum Failure {
    /**
     * Early records have expired and no complete snapshot covers them. The state must be fetched
     * from a peer.
     */
    NO_USABLE_SNAPSHOT
  }

  private record Stored(long offset, long appendedAtMillis, ControlRecord record) {}

  private final Duration retention;
  private long earliest;
  private final List<Stored> records = new ArrayList<>();
  private final Map<Long, TreeMap<Integer, ControlRecord.Snapshot>> snapshots = new HashMap<>();

  /**
   * Creates a loader without records.
   *
   * @param retention time for which the log retains records
   * @param earliest first retained offset, as the log reported it before the first record was read
   */
  public ControlStateLoader(Duration retention, long earliest) {
    this.retention = retention;
    this.earliest = earliest;
  }

  /**
   * Adds the next retained record.
   *
   * @param offset log offset of the record
   * @param appendedAtMillis append time on the clock of the log, in milliseconds since the epoch
   * @param record decoded record, which may be a part of a snapshot
   */
  public void add(long offset, long appendedAtMillis, ControlRecord record) {
    boolean isContiguous = records.isEmpty() || records.getLast().offset + 1 == offset;
    if (!isContiguous || (records.isEmpty() && offset > earliest)) {
      // The log expired records while it was read; the records before the gap cannot be applied.
      records.clear();
      earliest = offset;
    }
    records.add(new Stored(offset, appendedAtMillis, record));
    if (record instanceof ControlRecord.Snapshot part) {
      snapshots.computeIfAbsent(part.basis(), basis -> new TreeMap<>()).put(part.part(), part);
    }
  }

  /**
   * Returns the state after all added records.
   *
   * @return control state, or the reason why it cannot be derived
   */
  public Either<Failure, ControlState> state() {
    ControlState state = new ControlState(retention);
    Optional<List<ControlRecord.Snapshot>> snapshot = newestUsableSnapshot();
    if (snapshot.isPresent()) {
      state.load(snapshot.get());
    } else if (earliest > 0) {
      return Either.left(Failure.NO_USABLE_SNAPSHOT);
    }
    for (Stored stored : records) {
      state.apply(stored.offset, stored.appendedAtMillis, stored.record);
    }
    return Either.right(state);
  }

  private Optional<List<ControlRecord.Snapshot>> newestUsableSnapshot() {
    return snapshots.entrySet().stream()
        .filter(entry -> entry.getKey() >= earliest)
        .filter(entry -> isComplete(entry.getValue()))
        .max(Map.Entry.comparingByKey())
        .map(entry -> List.copyOf(entry.getValue().values()));
  }

  private static boolean isComplete(TreeMap<Integer, ControlRecord.Snapshot> parts) {
    return parts.size() == parts.firstEntry().getValue().parts();
  }
}
