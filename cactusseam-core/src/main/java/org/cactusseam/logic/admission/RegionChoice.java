package org.cactusseam.logic.admission;

/**
 * Compares shards of the own region with those of other regions. A request leaves its region only
 * for a wait that is clearly shorter, because the link between regions is slow and billed.
 */
public final class RegionChoice {

  /**
   * Additional wait from which a request leaves its region. Shorter waits do not pay for the
   * latency and the billed volume between regions.
   */
  private static final double SPILL_MILLIS = 1_000;

  /** The wait elsewhere must be shorter by this factor, because the published waits lag. */
  private static final double SPILL_FACTOR = 2;

  private RegionChoice() {}

  /**
   * Returns the cost of a shard; the request asks the shard with the lowest cost.
   *
   * @param waitMillis expected wait, in milliseconds
   * @param ownRegion whether the shard is in the region of the requester
   * @return cost, comparable between shards
   */
  public static double cost(double waitMillis, boolean ownRegion) {
    return ownRegion ? waitMillis : waitMillis * SPILL_FACTOR + SPILL_MILLIS;
  }
}
