package org.cactusseam.model;

/**
 * Identity of an admission shard: up to {@value #MAXIMUM_SERVERS} backend servers of one pool in
 * one region.
 *
 * @param pool pool
 * @param region region of the servers
 * @param index position among the shards of the pool and region
 */
public record ShardId(PoolName pool, RegionName region, int index) implements Comparable<ShardId> {

  /**
   * Bound on the servers of a shard, so that one decision looks at few servers whatever the fleet
   * size.
   */
  public static final int MAXIMUM_SERVERS = 16;

  @Override
  public int compareTo(ShardId other) {
    return toString().compareTo(other.toString());
  }

  @Override
  public String toString() {
    return pool + "/" + region + "/" + index;
  }
}
