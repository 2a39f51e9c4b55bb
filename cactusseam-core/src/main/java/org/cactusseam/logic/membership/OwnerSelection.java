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

/** Choice of the owner of an admission shard by rendezvous order over the active members. */
public final class OwnerSelection {

  private OwnerSelection() {}

  /**
   * Returns the owner of a shard.
   *
   * @param shard shard
   * @param active active members
   * @return the owner, or empty if there are no active members
   */
  public static Optional<Member> ownerOf(ShardId shard, List<Member> active) {
    return candidates(shard.region(), active).stream()
        .max(
            Comparator.comparingLong((Member member) -> weight(shard, member.node()))
                .thenComparing(Member::node));
  }

  /**
   * Returns the members that can own shards of a region: those in the region, or if it has none,
   * those of the next region in name order that has some.
   *
   * @param region region of the shard
   * @param active active members
   * @return the candidates
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
   * occupied, or else the next occupied region in name order.
   *
   * @param region region of the shard
   * @param occupied regions with active or suspended members
   * @return the region, or empty if none is occupied
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
   * Returns the rank of a node in the rendezvous order for a subject, for delays that let one node
   * act before the others.
   *
   * @param subject what is to be done
   * @param node node
   * @param others all nodes that may act
   * @return number of nodes that come before it
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
   * Returns the weight of a node for a shard; the candidate with the greatest weight owns it.
   *
   * @param shard shard
   * @param node node
   * @return weight
   */
  public static long weight(ShardId shard, NodeName node) {
    return hash(shard.toString(), node);
  }

  private static long hash(String subject, NodeName node) {
    return Hashing.murmur3_128().hashUnencodedChars(subject + "|" + node).asLong();
  }
}
