package org.cactusseam.edge.caller;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.cactusseam.logic.admission.RegionChoice;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;

/** Determines the order in which a request tries the shards of its pool. */
final class ShardOrder {

  private ShardOrder() {}

  /**
   * Orders shards by expected wait. Shards of the local region come first unless their wait is
   * clearly longer.
   *
   * @param shards shards of the pool
   * @param localRegion region of this daemon
   * @param affinity hash that spreads requests over shards with equal waits; requests with the same
   *     prompt prefix get the same order, so that they reach engines that have the prefix cached
   * @param waitMillis expected wait at a shard, in milliseconds
   * @return all shards, most preferred first
   */
  static List<ShardId> order(
      List<ShardId> shards,
      RegionName localRegion,
      long affinity,
      ToDoubleFunction<ShardId> waitMillis) {
    List<ShardId> ordered = new ArrayList<>(shards);
    if (!ordered.isEmpty()) {
      Collections.rotate(ordered, (int) Math.floorMod(affinity, (long) ordered.size()));
    }
    ordered.sort(
        Comparator.comparingDouble(
            shard ->
                RegionChoice.cost(
                    waitMillis.applyAsDouble(shard), shard.region().equals(localRegion))));
    return ordered;
  }
}
