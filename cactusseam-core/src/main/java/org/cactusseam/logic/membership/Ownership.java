package org.cactusseam.logic.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.Member;

/** Choice of the owner of an admission shard by rendezvous order over the active members. */
public final class Ownership {

  private Ownership() {}

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
            Comparator.comparingLong((Member member) -> weight(shard, member))
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

  private static long weight(ShardId shard, Member member) {
    return com.google.common.hash.Hashing.murmur3_128()
        .hashUnencodedChars(shard + "|" + member.node())
        .asLong();
  }
}
