package org.cactusseam.logic.membership;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.cactusseam.logic.control.ShardOwners;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.Handover;
import org.cactusseam.model.control.RunId;
import org.cactusseam.model.control.ShardOwner;

/**
 * Which shards a node owns, and until when earlier owners of each shard may hold leases. Earlier
 * owners are tracked for all shards, because a node may become the owner by the next record.
 */
final class OwnershipPeriods {

  /** Stands for owners in records that this node did not apply one by one. */
  private static final RunId UNKNOWN = new RunId(new NodeName("unknown"), "");

  private final MembershipSettings settings;
  private final Map<ShardId, Map<RunId, Instant>> predecessors = new HashMap<>();
  private final Map<ShardId, Set<RunId>> released = new HashMap<>();
  private final Map<ShardId, Handover> releasedByRecord = new HashMap<>();
  private final Map<ShardId, RunId> standingInFor = new HashMap<>();
  private final Map<ShardId, Long> started = new TreeMap<>();
  private final Map<ShardId, Long> owned = new HashMap<>();
  private ShardOwners owners = ShardOwners.EMPTY;

  OwnershipPeriods(MembershipSettings settings) {
    this.settings = settings;
  }

  /**
   * Notes the owners after a record, or after several if records were skipped.
   *
   * @param current owners by the log
   * @param skipped whether records were not applied one by one
   * @param ended runs whose end this node has seen
   * @param self run of this node
   * @param now current time
   */
  void changed(ShardOwners current, boolean skipped, Set<RunId> ended, RunId self, Instant now) {
    Instant until = now.plus(settings.takeoverWait());
    if (current != owners || skipped) {
      for (Map.Entry<ShardId, Optional<ShardOwner>> entry : current.owners().entrySet()) {
        ShardId shard = entry.getKey();
        Optional<ShardOwner> previous = owners.of(shard);
        if (skipped) {
          block(shard, UNKNOWN, until);
        }
        if (!previous.equals(entry.getValue())) {
          previous
              .map(ShardOwner::run)
              .filter(run -> !run.equals(self))
              .filter(run -> !isReleased(shard, run, entry.getValue()))
              .ifPresent(
                  run ->
                      block(
                          shard,
                          run,
                          ended.contains(run)
                              ? now.plus(settings.takeoverWaitAfterExit())
                              : until));
        }
      }
      owners = current;
    }
    refresh(self);
  }

  /**
   * Shortens the waits for runs that have ended: only permits that they granted before can still be
   * used.
   *
   * @param ended tells whether a run has ended
   * @param seenAt time at which it had; later owners of the same node are not concerned
   * @param now current time
   */
  void ended(Predicate<RunId> ended, Instant seenAt, Instant now) {
    Instant permitsEnd = now.plus(settings.takeoverWaitAfterExit());
    Instant latest = seenAt.plus(settings.takeoverWait());
    for (Map<RunId, Instant> waits : predecessors.values()) {
      waits.replaceAll(
          (run, until) ->
              ended.test(run) && !until.isAfter(latest) && permitsEnd.isBefore(until)
                  ? permitsEnd
                  : until);
    }
  }

  private boolean isReleased(ShardId shard, RunId run, Optional<ShardOwner> successor) {
    Handover handover = releasedByRecord.get(shard);
    return handover != null
        && handover.from().equals(run)
        && successor.map(owner -> owner.epoch() == handover.epoch()).orElse(false);
  }

  /**
   * Notes that the run that lost a shard by a record has applied the record and stopped. It may
   * come before this node applies the record. It says nothing about later epochs of the same run.
   */
  void releasedByRecord(Handover handover) {
    Handover known = releasedByRecord.get(handover.shard());
    if (known != null && known.epoch() > handover.epoch()) {
      return;
    }
    releasedByRecord.put(handover.shard(), handover);
    Optional<ShardOwner> owner = owners.of(handover.shard());
    if (owner.map(found -> found.epoch() == handover.epoch()).orElse(false)) {
      predecessors.getOrDefault(handover.shard(), new HashMap<>()).remove(handover.from());
    }
  }

  private void block(ShardId shard, RunId run, Instant until) {
    if (!released.getOrDefault(shard, Set.of()).contains(run)) {
      predecessors.computeIfAbsent(shard, key -> new HashMap<>()).put(run, until);
    }
  }

  /** Recomputes which shards belong to a run, by the log or by a handover. */
  void refresh(RunId self) {
    owned.clear();
    owners
        .owners()
        .forEach(
            (shard, owner) ->
                owner
                    .filter(found -> isOwner(shard, found.run(), self))
                    .ifPresent(found -> owned.put(shard, found.epoch())));
  }

  private boolean isOwner(ShardId shard, RunId owner, RunId self) {
    return owner.equals(self) || owner.equals(standingInFor.get(shard));
  }

  void handoverReceived(Handover handover, RunId self) {
    Set<RunId> runs = released.computeIfAbsent(handover.shard(), key -> new HashSet<>());
    runs.addAll(handover.released());
    predecessors.getOrDefault(handover.shard(), new HashMap<>()).keySet().removeAll(runs);
    standingInFor.put(handover.shard(), handover.onBehalfOf());
    refresh(self);
  }

  /** Runs that have released a shard, with the leaving one. */
  Set<RunId> releasedBy(ShardId shard, RunId leaving) {
    Set<RunId> runs = new HashSet<>(released.getOrDefault(shard, Set.of()));
    runs.add(leaving);
    return runs;
  }

  Optional<ShardOwner> ownerByLog(ShardId shard) {
    return owners.of(shard);
  }

  Map<ShardId, Long> owned() {
    return owned;
  }

  /** Shards that the node has taken over, with their epochs. */
  Map<ShardId, Long> started() {
    return started;
  }

  boolean isClear(ShardId shard, Instant now) {
    Map<RunId, Instant> waits = predecessors.get(shard);
    if (waits == null) {
      return true;
    }
    waits.values().removeIf(until -> !until.isAfter(now));
    if (waits.isEmpty()) {
      predecessors.remove(shard);
    }
    return waits.isEmpty();
  }

  boolean isStarted(ShardId shard) {
    Long epoch = owned.get(shard);
    return epoch != null && epoch.equals(started.get(shard));
  }

  boolean isSettled() {
    return started.equals(owned);
  }
}
