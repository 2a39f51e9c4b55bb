package org.cactusseam.edge.caller;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.cactusseam.logic.admission.RegionChoice;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;

/** Order in which a request tries the shards of its pool. */
final class ShardOrder {

  private ShardOrder() {}

  /**
   * Orders shards by expected wait; those of the own region come first unless their wait is clearly
   * longer.
   *
   * @param shards shards of the pool
   * @param own own region
   * @param affinity hash that spreads requests over shards with the same wait; requests with the
   *     same prompt prefix get the same order, so that they meet the same engine caches
   * @param waitMillis expected wait at a shard, in milliseconds
   * @return all shards, first choice first
   */
  static List<ShardId> order(
      List<ShardId> shards, RegionName own, long affinity, ToDoubleFunction<ShardId> waitMillis) {
    List<ShardId> ordered = new ArrayList<>(shards);
    if (!ordered.isEmpty()) {
      Collections.rotate(ordered, (int) Math.floorMod(affinity, (long) ordered.size()));
    }
    ordered.sort(
        Comparator.comparingDouble(
            shard ->
                RegionChoice.cost(waitMillis.applyAsDouble(shard), shard.region().equals(own))));
    return ordered;
  }
}
