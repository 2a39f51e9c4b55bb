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
 * Builds the control state of a starting node from the retained records of the log.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class ControlStateLoader {

  /** Reasons why the log alone does not give the state. */
  public enum Failure {
    /** Early records are gone and no complete snapshot covers them. A peer must give the state. */
    NO_USABLE_SNAPSHOT
  }

  private record Stored(long offset, long appendedAtMillis, ControlRecord record) {}

  private final Duration retention;
  private long earliest;
  private final List<Stored> records = new ArrayList<>();
  private final Map<Long, TreeMap<Integer, ControlRecord.Snapshot>> snapshots = new HashMap<>();

  /**
   * Starts a load.
   *
   * @param retention time for which the log keeps records
   * @param earliest first retained offset, as the log stated it before the first record was read
   */
  public ControlStateLoader(Duration retention, long earliest) {
    this.retention = retention;
    this.earliest = earliest;
  }

  /**
   * Adds the next retained record.
   *
   * @param offset log offset
   * @param appendedAtMillis time of the record, as the log states it
   * @param record record
   */
  public void add(long offset, long appendedAtMillis, ControlRecord record) {
    boolean follows = records.isEmpty() || records.getLast().offset + 1 == offset;
    if (!follows || (records.isEmpty() && offset > earliest)) {
      // The log dropped records while it was read; what came before the gap is of no use.
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
   * @return the state, or the reason why it is unknown
   */
  public Either<Failure, ControlState> state() {
    ControlState state = new ControlState(retention);
    Optional<List<ControlRecord.Snapshot>> snapshot = newestUsable();
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

  private Optional<List<ControlRecord.Snapshot>> newestUsable() {
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
