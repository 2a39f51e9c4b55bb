package org.cactusseam.logic.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cactusseam.model.claim.ClaimBatch;

/** Log whose appends are lost, delayed or repeated as the faults of a case say. */
final class ScriptedLog {

  /** What the node learns of an append. */
  enum Response {
    SUCCESS,
    ERROR,
    TIMEOUT
  }

  private record Kept(long offset, Instant at, ClaimBatch batch) {}

  private record Delayed(Instant at, ClaimBatch batch) {}

  private final Random random;
  private final Set<Fault> faults;
  private final List<Kept> kept = new ArrayList<>();
  private final List<Delayed> delayed = new ArrayList<>();
  private long earliest;
  private long end;
  boolean up = true;

  ScriptedLog(Random random, Set<Fault> faults) {
    this.random = random;
    this.faults = faults;
  }

  Response append(ClaimBatch batch, Instant now) {
    if (!up) {
      return Response.ERROR;
    }
    if (hits(Fault.LOST_REQUEST)) {
      return Response.TIMEOUT;
    }
    if (hits(Fault.LATE_APPEND)) {
      delayed.add(new Delayed(now.plusMillis(100 + random.nextInt(4000)), batch));
      return Response.TIMEOUT;
    }
    if (hits(Fault.APPEND_ERROR)) {
      if (random.nextBoolean()) {
        delayed.add(new Delayed(now.plusMillis(random.nextInt(1000)), batch));
      }
      return Response.ERROR;
    }
    store(batch, now);
    if (hits(Fault.REPEATED_APPEND)) {
      delayed.add(new Delayed(now.plusMillis(random.nextInt(2000)), batch));
    }
    return hits(Fault.LOST_ANSWER) ? Response.TIMEOUT : Response.SUCCESS;
  }

  private boolean hits(Fault fault) {
    return faults.contains(fault) && random.nextInt(2) == 0;
  }

  private void store(ClaimBatch batch, Instant now) {
    kept.add(new Kept(end++, now, batch));
  }

  void advance(Instant now, Duration retention) {
    List<Delayed> due = delayed.stream().filter(late -> !late.at.isAfter(now)).toList();
    delayed.removeAll(due);
    due.forEach(late -> store(late.batch, now));
    kept.removeIf(record -> record.at.isBefore(now.minus(retention)));
    earliest = kept.isEmpty() ? end : kept.get(0).offset;
  }

  void readInto(ClaimCoordinator coordinator) {
    List<ClaimCoordinator.OffsetBatch> records =
        kept.stream()
            .filter(record -> record.offset >= coordinator.nextOffset())
            .map(record -> new ClaimCoordinator.OffsetBatch(record.offset, record.batch))
            .toList();
    coordinator.recordsRead(earliest, records);
  }
}
