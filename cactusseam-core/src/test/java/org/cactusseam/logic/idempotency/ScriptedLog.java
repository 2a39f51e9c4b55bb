package org.cactusseam.logic.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cactusseam.model.claim.ClaimBatch;

/**
 * Append-only log whose appends are lost, delayed, rejected or duplicated according to the faults
 * of a test case.
 */
final class ScriptedLog {

  /** Result of an append as seen by the daemon. */
  enum Response {
    SUCCESS,
    ERROR,
    TIMEOUT
  }

  private record StoredRecord(long offset, Instant at, ClaimBatch batch) {}

  private record DelayedAppend(Instant at, ClaimBatch batch) {}

  private final Random random;
  private final Set<Fault> faults;
  private final List<StoredRecord> stored = new ArrayList<>();
  private final List<DelayedAppend> delayed = new ArrayList<>();
  private long earliest;
  private long end;
  boolean available = true;

  ScriptedLog(Random random, Set<Fault> faults) {
    this.random = random;
    this.faults = faults;
  }

  Response append(ClaimBatch batch, Instant now) {
    if (!available) {
      return Response.ERROR;
    }
    if (occurs(Fault.LOST_REQUEST)) {
      return Response.TIMEOUT;
    }
    if (occurs(Fault.LATE_APPEND)) {
      delayed.add(new DelayedAppend(now.plusMillis(100 + random.nextInt(4000)), batch));
      return Response.TIMEOUT;
    }
    if (occurs(Fault.APPEND_ERROR)) {
      if (random.nextBoolean()) {
        delayed.add(new DelayedAppend(now.plusMillis(random.nextInt(1000)), batch));
      }
      return Response.ERROR;
    }
    store(batch, now);
    if (occurs(Fault.REPEATED_APPEND)) {
      delayed.add(new DelayedAppend(now.plusMillis(random.nextInt(2000)), batch));
    }
    return occurs(Fault.LOST_ANSWER) ? Response.TIMEOUT : Response.SUCCESS;
  }

  private boolean occurs(Fault fault) {
    return faults.contains(fault) && random.nextInt(2) == 0;
  }

  private void store(ClaimBatch batch, Instant now) {
    stored.add(new StoredRecord(end++, now, batch));
  }

  void advance(Instant now, Duration retention) {
    List<DelayedAppend> due = delayed.stream().filter(late -> !late.at.isAfter(now)).toList();
    delayed.removeAll(due);
    due.forEach(late -> store(late.batch, now));
    stored.removeIf(record -> record.at.isBefore(now.minus(retention)));
    earliest = stored.isEmpty() ? end : stored.get(0).offset;
  }

  void readInto(ClaimCoordinator coordinator) {
    List<ClaimCoordinator.OffsetBatch> records =
        stored.stream()
            .filter(record -> record.offset >= coordinator.nextOffset())
            .map(record -> new ClaimCoordinator.OffsetBatch(record.offset, record.batch))
            .toList();
    coordinator.recordsRead(earliest, records);
  }
}
