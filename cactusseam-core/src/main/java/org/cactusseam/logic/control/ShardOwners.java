package org.cactusseam.logic.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import org.cactusseam.logic.membership.OwnerSelection;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.RunId;
import org.cactusseam.model.control.ShardOwner;

/**
 * Immutable view of the owner and epoch of every shard. A shard that lost its last backend server
 * keeps its owner, who may not have applied the removal yet: a command on that server must still
 * wait for the owner's confirmation.
 *
 * @param owners owner of each shard; empty while no run may own it
 */
public record ShardOwners(Map<ShardId, Optional<ShardOwner>> owners) {

  /** View without shards. */
  public static final ShardOwners EMPTY = new ShardOwners(Map.of());

  /** Candidate for the ownership of one shard with its rendezvous weight for that shard. */
  private record Candidate(RunId run, long weight) {}

  /**
   * Returns the owner of a shard.
   *
   * @param shard admission shard
   * @return owner, or empty if no run may own the shard or it does not exist
   */
  public Optional<ShardOwner> of(ShardId shard) {
    return owners.getOrDefault(shard, Optional.empty());
  }

  /**
   * Returns the owners after the record at an offset. Only shards whose owner changes get a new
   * epoch.
   *
   * @param shards shards that exist after the record
   * @param before membership before the record
   * @param after membership after the record
   * @param offset offset of the record, which becomes the epoch of new owners
   * @return updated view; this object if nothing changed
   */
  ShardOwners updated(Set<ShardId> shards, Membership before, Membership after, long offset) {
    Map<RegionName, RegionCandidates> regions = new HashMap<>();
    Map<ShardId, Optional<ShardOwner>> changed = new HashMap<>();
    for (ShardId shard : allShards(shards)) {
      RegionCandidates region =
          regions.computeIfAbsent(
              shard.region(), name -> RegionCandidates.compare(name, before, after));
      Optional<ShardOwner> current = of(shard);
      Optional<RunId> owner = choose(shard, region, current.map(ShardOwner::run));
      if (!owners.containsKey(shard) || !owner.equals(current.map(ShardOwner::run))) {
        changed.put(shard, owner.map(run -> new ShardOwner(run, offset)));
      }
    }
    if (changed.isEmpty()) {
      return this;
    }
    Map<ShardId, Optional<ShardOwner>> copy = new HashMap<>(owners);
    copy.putAll(changed);
    return new ShardOwners(copy);
  }

  private Set<ShardId> allShards(Set<ShardId> shards) {
    if (owners.keySet().containsAll(shards)) {
      return owners.keySet();
    }
    Set<ShardId> all = new java.util.HashSet<>(owners.keySet());
    all.addAll(shards);
    return all;
  }

  /**
   * Selects the owner of a shard. The current owner, while it is a candidate, is compared only with
   * members that became candidates by this record; it has won against all others before.
   */
  private static Optional<RunId> choose(
      ShardId shard, RegionCandidates region, Optional<RunId> current) {
    boolean stays = current.isPresent() && region.candidates.containsKey(current.get());
    Optional<RunId> best = stays ? current : Optional.empty();
    Set<RunId> challengers = stays ? region.added.keySet() : region.candidates.keySet();
    Optional<Candidate> winner =
        best.map(run -> new Candidate(run, OwnerSelection.weight(shard, run.node())));
    for (RunId run : challengers) {
      Candidate candidate = new Candidate(run, OwnerSelection.weight(shard, run.node()));
      if (winner.isEmpty() || precedes(candidate, winner.get())) {
        winner = Optional.of(candidate);
      }
    }
    return winner.map(Candidate::run);
  }

  private static boolean precedes(Candidate candidate, Candidate other) {
    int byWeight = Long.compare(candidate.weight, other.weight);
    NodeName node = candidate.run.node();
    return byWeight != 0 ? byWeight > 0 : node.compareTo(other.run.node()) > 0;
  }

  /**
   * Candidates for the shards of one region.
   *
   * @param candidates active members that can own the shards after the record
   * @param added candidates that could not own them before the record
   */
  private record RegionCandidates(Map<RunId, Member> candidates, Map<RunId, Member> added) {

    static RegionCandidates compare(RegionName region, Membership before, Membership after) {
      Map<RunId, Member> candidates = candidates(region, after);
      Map<RunId, Member> added = new TreeMap<>(candidates);
      added.keySet().removeAll(candidates(region, before).keySet());
      return new RegionCandidates(candidates, added);
    }

    private static Map<RunId, Member> candidates(RegionName region, Membership membership) {
      SortedSet<RegionName> occupied = membership.occupiedRegions();
      Map<RunId, Member> candidates = new TreeMap<>();
      Optional<RegionName> owning = OwnerSelection.owningRegion(region, occupied);
      List<Member> active = membership.active();
      for (Member member : active) {
        if (Objects.equals(owning.orElse(null), member.region())) {
          candidates.put(RunId.of(member), member);
        }
      }
      return candidates;
    }
  }
}
