package org.cactusseam.logic.control;

import java.time.Duration;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.control.ControlRecord;

/**
 * Decides when a node appends a snapshot to the control log. A snapshot is due when the newest
 * complete one is older than a quarter of the retention period, so that a reader always finds one
 * whose subsequent records are retained.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class SnapshotSchedule {

  /**
   * Delay between two ranks, so that usually one node appends; longer than an append and the long
   * poll that returns it usually take.
   */
  public static final Duration DELAY_PER_RANK = Duration.ofSeconds(2);

  private static final int MAXIMUM_RANK = 30;

  private record PartialSnapshot(BitSet parts, long firstMillis) {}

  private final long dueAfterMillis;
  private final Map<Long, PartialSnapshot> incomplete = new HashMap<>();
  private Optional<Long> newestMillis = Optional.empty();
  private long newestBasis = -1;

  /**
   * Creates a schedule that has seen no snapshot.
   *
   * @param retention time for which the log retains records
   */
  public SnapshotSchedule(Duration retention) {
    dueAfterMillis = retention.toMillis() / 4;
  }

  /**
   * Follows a record of the log; records other than parts of snapshots have no effect. The age of a
   * snapshot counts from its first part.
   *
   * @param appendedAtMillis append time on the clock of the log, in milliseconds since the epoch
   * @param record applied record
   */
  public void onRecordApplied(long appendedAtMillis, ControlRecord record) {
    if (record instanceof ControlRecord.Snapshot snapshot && snapshot.basis() > newestBasis) {
      PartialSnapshot partial =
          incomplete.computeIfAbsent(
              snapshot.basis(), basis -> new PartialSnapshot(new BitSet(), appendedAtMillis));
      partial.parts.set(snapshot.part());
      if (partial.parts.cardinality() == snapshot.parts()) {
        newestBasis = snapshot.basis();
        newestMillis = Optional.of(partial.firstMillis);
        incomplete.keySet().removeIf(basis -> basis <= newestBasis);
      }
    }
  }

  /**
   * Tells whether this node should append a snapshot now. One is also due if the log has expired
   * records and holds no snapshot, as after an outage longer than the retention period.
   *
   * @param nowMillis current time on the clock of the log, in milliseconds since the epoch
   * @param oldestRecordMillis time of the oldest record that a reader would need without a snapshot
   * @param rank rank of this node in the rendezvous order of the active members, from 0
   * @return true if a snapshot is due for this rank
   */
  public boolean isDue(long nowMillis, long oldestRecordMillis, int rank) {
    long delay = DELAY_PER_RANK.toMillis() * Math.min(rank, MAXIMUM_RANK);
    long since = newestMillis.orElse(oldestRecordMillis);
    return nowMillis - since > dueAfterMillis + delay;
  }
}
