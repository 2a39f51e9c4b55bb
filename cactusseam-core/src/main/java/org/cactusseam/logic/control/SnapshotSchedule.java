package org.cactusseam.logic.control;

import java.time.Duration;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.control.ControlRecord;

/**
 * Decides when a node appends a snapshot. The newest complete snapshot must not reach a quarter of
 * the retention period, so that a reader always finds one whose following records are retained.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class SnapshotSchedule {

  /** Delay between two ranks; longer than an append and its long poll usually take. */
  public static final Duration DELAY_PER_RANK = Duration.ofSeconds(2);

  private static final int MAXIMUM_RANK = 30;

  private record Assembly(BitSet parts, long firstMillis) {}

  private final long dueAfterMillis;
  private final Map<Long, Assembly> incomplete = new HashMap<>();
  private Optional<Long> newestMillis = Optional.empty();
  private long newestBasis = -1;

  /**
   * Creates a schedule that knows no snapshot.
   *
   * @param retention time for which the log keeps records
   */
  public SnapshotSchedule(Duration retention) {
    dueAfterMillis = retention.toMillis() / 4;
  }

  /**
   * Notes a record of the log.
   *
   * @param appendedAtMillis time of the record, as the log states it
   * @param record record
   */
  public void applied(long appendedAtMillis, ControlRecord record) {
    if (record instanceof ControlRecord.Snapshot snapshot && snapshot.basis() > newestBasis) {
      Assembly assembly =
          incomplete.computeIfAbsent(
              snapshot.basis(), basis -> new Assembly(new BitSet(), appendedAtMillis));
      assembly.parts.set(snapshot.part());
      if (assembly.parts.cardinality() == snapshot.parts()) {
        newestBasis = snapshot.basis();
        newestMillis = Optional.of(assembly.firstMillis);
        incomplete.keySet().removeIf(basis -> basis <= newestBasis);
      }
    }
  }

  /**
   * Tells whether this node should append a snapshot now. It is due as well if the log has dropped
   * records and holds no snapshot, as after an outage longer than the retention period.
   *
   * @param nowMillis current time on the clock of the log
   * @param oldestRecordMillis time of the oldest record that a reader would need without a snapshot
   * @param rank place of this node in the rendezvous order of the active members
   * @return true if it should
   */
  public boolean isDue(long nowMillis, long oldestRecordMillis, int rank) {
    long delay = DELAY_PER_RANK.toMillis() * Math.min(rank, MAXIMUM_RANK);
    long since = newestMillis.orElse(oldestRecordMillis);
    return nowMillis - since > dueAfterMillis + delay;
  }
}
