package org.cactusseam.model;

/**
 * Identity of an admission shard: up to {@value #MAXIMUM_SERVERS} backend servers of one pool in
 * one region, for which one entry daemon grants permits.
 *
 * @param pool pool of the servers
 * @param region region of the servers
 * @param index index of the shard within its pool and region, from 0
 */
public record ShardId(PoolName pool, RegionName region, int index) implements Comparable<ShardId> {

  /**
   * Bound on the servers of a shard, so that the cost of an admission decision does not grow with
   * the fleet.
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
