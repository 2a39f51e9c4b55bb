package org.cactusseam.edge.caller;

import java.util.ArrayList;
import java.util.List;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;

/**
 * Order in which a request tries the shards of its pool: those of the own region first, because the
 * link between regions is slow and billed.
 */
final class ShardOrder {

  private ShardOrder() {}

  /**
   * Orders shards.
   *
   * @param shards shards of the pool
   * @param own own region
   * @param affinity hash that spreads requests over the shards of a region; requests with the same
   *     prompt prefix get the same order, so that they meet the same engine caches
   * @return all shards, first choice first
   */
  static List<ShardId> order(List<ShardId> shards, RegionName own, long affinity) {
    List<ShardId> near =
        new ArrayList<>(shards.stream().filter(id -> id.region().equals(own)).toList());
    List<ShardId> far =
        new ArrayList<>(shards.stream().filter(id -> !id.region().equals(own)).toList());
    rotate(near, affinity);
    rotate(far, affinity);
    near.addAll(far);
    return near;
  }

  private static void rotate(List<ShardId> shards, long affinity) {
    if (!shards.isEmpty()) {
      java.util.Collections.rotate(shards, (int) Math.floorMod(affinity, (long) shards.size()));
    }
  }
}
