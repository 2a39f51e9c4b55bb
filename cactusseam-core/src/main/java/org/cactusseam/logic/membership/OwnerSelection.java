package org.cactusseam.logic.membership;

import com.google.common.hash.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.Member;

/**
 * Selects the owner of an admission shard by rendezvous hashing over the active members, so that
 * nodes with the same membership agree on it and a membership change moves few shards.
 */
public final class OwnerSelection {

  private OwnerSelection() {}

  /**
   * Selects the owner of a shard.
   *
   * @param shard admission shard
   * @param active active members of all regions
   * @return the owner, or empty if there are no active members
   */
  public static Optional<Member> ownerOf(ShardId shard, List<Member> active) {
    return candidates(shard.region(), active).stream()
        .max(
            Comparator.comparingLong((Member member) -> weight(shard, member.node()))
                .thenComparing(Member::node));
  }

  /**
   * Returns the members that can own shards of a region: those in the region or, if it has none,
   * those of the next region in name order that has some. The order wraps around.
   *
   * @param region region of the shard
   * @param active active members of all regions
   * @return members that can own shards of the region
   */
  public static List<Member> candidates(RegionName region, List<Member> active) {
    Optional<RegionName> chosen =
        active.stream()
            .map(Member::region)
            .min(
                Comparator.comparing((RegionName other) -> other.compareTo(region) < 0)
                    .thenComparing(Comparator.naturalOrder()));
    return active.stream().filter(member -> Optional.of(member.region()).equals(chosen)).toList();
  }

  /**
   * Returns the region whose active members own the shards of a region: the region itself if it is
   * occupied, otherwise the next occupied region in name order. The order wraps around.
   *
   * @param region region of the shard
   * @param occupied regions with active or suspended members
   * @return owning region, or empty if none is occupied
   */
  public static Optional<RegionName> owningRegion(
      RegionName region, SortedSet<RegionName> occupied) {
    SortedSet<RegionName> following = occupied.tailSet(region);
    if (!following.isEmpty()) {
      return Optional.of(following.first());
    }
    return occupied.stream().findFirst();
  }

  /**
   * Returns the rank of a node in the rendezvous order for a subject. Delays in proportion to it
   * let one node act before the others.
   *
   * @param subject key of the action, the same on all nodes
   * @param node node whose rank is computed
   * @param others all nodes that may act; may contain the node
   * @return number of nodes that precede it, from 0
   */
  public static int rank(String subject, NodeName node, List<NodeName> others) {
    long own = hash(subject, node);
    return (int)
        others.stream()
            .filter(other -> !other.equals(node))
            .filter(other -> hash(subject, other) > own)
            .count();
  }

  /**
   * Returns the rendezvous weight of a node for a shard; the candidate with the greatest weight
   * owns it.
   *
   * @param shard admission shard
   * @param node candidate
   * @return signed hash of shard and node
   */
  public static long weight(ShardId shard, NodeName node) {
    return hash(shard.toString(), node);
  }

  private static long hash(String subject, NodeName node) {
    return Hashing.murmur3_128().hashUnencodedChars(subject + "|" + node).asLong();
  }
}
