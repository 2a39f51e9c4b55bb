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
 * Tracks which shards a node owns and until when earlier owners of each shard may still hold
 * leases, so that two owners never grant at the same time. Earlier owners are tracked for all
 * shards, because the next record may make this node the owner of any.
 */
final class OwnershipPeriods {

  /** Placeholder for the unknown owners in records that this node skipped. */
  private static final RunId UNKNOWN = new RunId(new NodeName("unknown"), "");

  private final MembershipSettings settings;
  private final Map<ShardId, Map<RunId, Instant>> predecessors = new HashMap<>();
  private final Map<ShardId, Set<RunId>> released = new HashMap<>();
  private final Map<ShardId, Handover> releasedByRecord = new HashMap<>();
  private final Map<ShardId, RunId> interimOwnerFor = new HashMap<>();
  private final Map<ShardId, Long> takenOver = new TreeMap<>();
  private final Map<ShardId, Long> owned = new HashMap<>();
  private ShardOwners owners = ShardOwners.EMPTY;

  OwnershipPeriods(MembershipSettings settings) {
    this.settings = settings;
  }

  /**
   * Updates the owners after a record, or after several if records were skipped, and starts the
   * waits for the owners that were replaced.
   *
   * @param current owners according to the log
   * @param skipped whether records were not applied one by one, so that owners between them are
   *     unknown
   * @param ended runs whose end this node has observed itself
   * @param self run of this node
   * @param now current time
   */
  void onOwnersChanged(
      ShardOwners current, boolean skipped, Set<RunId> ended, RunId self, Instant now) {
    Instant until = now.plus(settings.takeoverWait());
    if (current != owners || skipped) {
      for (Map.Entry<ShardId, Optional<ShardOwner>> entry : current.owners().entrySet()) {
        ShardId shard = entry.getKey();
        Optional<ShardOwner> previous = owners.of(shard);
        if (skipped) {
          addWait(shard, UNKNOWN, until);
        }
        if (!previous.equals(entry.getValue())) {
          previous
              .map(ShardOwner::run)
              .filter(run -> !run.equals(self))
              .filter(run -> !isReleased(shard, run, entry.getValue()))
              .ifPresent(
                  run ->
                      addWait(
                          shard,
                          run,
                          ended.contains(run)
                              ? now.plus(settings.takeoverWaitAfterExit())
                              : until));
        }
      }
      owners = current;
    }
    recomputeOwned(self);
  }

  /**
   * Shortens the waits for runs that have ended: only permits that they granted before can still be
   * used, so their leases need not expire.
   *
   * @param ended whether a run has ended
   * @param seenAt time at which it had ended; waits for later runs of the same node are not
   *     shortened
   * @param now current time
   */
  void onRunsEnded(Predicate<RunId> ended, Instant seenAt, Instant now) {
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
   * Ends the wait for a run that lost a shard by a record, has applied the record and stopped
   * granting. The message may arrive before this node applies the record. It does not apply to
   * later epochs of the same run.
   */
  void onReleasedByRecord(Handover handover) {
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

  private void addWait(ShardId shard, RunId run, Instant until) {
    if (!released.getOrDefault(shard, Set.of()).contains(run)) {
      predecessors.computeIfAbsent(shard, key -> new HashMap<>()).put(run, until);
    }
  }

  /**
   * Recomputes which shards this run owns, according to the log or as interim owner after a
   * handover.
   */
  void recomputeOwned(RunId self) {
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
    return owner.equals(self) || owner.equals(interimOwnerFor.get(shard));
  }

  /** Makes this run the interim owner of a shard that a leaving run hands over. */
  void onHandover(Handover handover, RunId self) {
    Set<RunId> runs = released.computeIfAbsent(handover.shard(), key -> new HashSet<>());
    runs.addAll(handover.released());
    predecessors.getOrDefault(handover.shard(), new HashMap<>()).keySet().removeAll(runs);
    interimOwnerFor.put(handover.shard(), handover.onBehalfOf());
    recomputeOwned(self);
  }

  /** Returns the runs that have released a shard, including the leaving one. */
  Set<RunId> releasedRuns(ShardId shard, RunId leaving) {
    Set<RunId> runs = new HashSet<>(released.getOrDefault(shard, Set.of()));
    runs.add(leaving);
    return runs;
  }

  /** Returns the owner of a shard according to the log, who may have handed it over. */
  Optional<ShardOwner> ownerByLog(ShardId shard) {
    return owners.of(shard);
  }

  /** Returns the shards that this run owns with their epochs, taken over or not. */
  Map<ShardId, Long> owned() {
    return owned;
  }

  /** Returns the shards that the node has taken over, with their epochs. The map is mutable. */
  Map<ShardId, Long> takenOver() {
    return takenOver;
  }

  /** Tells whether the waits for all earlier owners of a shard are over. */
  boolean mayTakeOver(ShardId shard, Instant now) {
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

  boolean isTakenOver(ShardId shard) {
    Long epoch = owned.get(shard);
    return epoch != null && epoch.equals(takenOver.get(shard));
  }

  /** Tells whether the node has taken over every shard that it owns. */
  boolean isSettled() {
    return takenOver.equals(owned);
  }
}
