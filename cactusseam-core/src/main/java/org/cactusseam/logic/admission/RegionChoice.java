package org.cactusseam.logic.admission;

/**
 * Ranks shards of the requester's region and of other regions by cost. A request leaves its region
 * only for a clearly shorter wait, because links between regions are slow and billed by volume.
 */
public final class RegionChoice {

  /**
   * Minimum additional wait in the own region that justifies leaving it. A shorter wait does not
   * outweigh the latency and the billed volume between regions.
   */
  private static final double SPILLOVER_MILLIS = 1_000;

  /**
   * Factor by which the wait in another region must be shorter, because the published waits lag
   * behind.
   */
  private static final double SPILLOVER_FACTOR = 2;

  private RegionChoice() {}

  /**
   * Returns the cost of a shard. A request goes to the shard with the lowest cost.
   *
   * @param waitMillis expected wait in the shard, in milliseconds
   * @param ownRegion whether the shard is in the region of the requester
   * @return cost, comparable between shards
   */
  public static double cost(double waitMillis, boolean ownRegion) {
    return ownRegion ? waitMillis : waitMillis * SPILLOVER_FACTOR + SPILLOVER_MILLIS;
  }
}
