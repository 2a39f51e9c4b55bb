package org.cactusseam.edge.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.ShardLoad;
import org.cactusseam.model.message.PeerMessage;

/** Last published load of each shard, with what this daemon sent since. Safe for all threads. */
public final class ShardLoads {

  private final Map<ShardId, Entry> entries = new ConcurrentHashMap<>();

  private record Entry(ShardLoad load, AtomicInteger sent) {}

  void published(List<PeerMessage.ShardLoadEntry> loads) {
    for (PeerMessage.ShardLoadEntry each : loads) {
      entries.put(each.shard(), new Entry(each.load(), new AtomicInteger()));
    }
  }

  /**
   * Returns the expected wait of a request that asks a shard now.
   *
   * @param shard shard
   * @param rank rank of the request
   * @return wait, in milliseconds; 0 if nothing is known
   */
  public double expectedWaitMillis(ShardId shard, int rank) {
    Entry entry = entries.get(shard);
    return entry == null
        ? ShardLoad.NONE.expectedWaitMillis(rank, 0)
        : entry.load.expectedWaitMillis(rank, entry.sent.get());
  }

  /**
   * Notes that this daemon sends a request to a shard.
   *
   * @param shard shard
   */
  public void sent(ShardId shard) {
    Entry entry = entries.get(shard);
    if (entry != null) {
      entry.sent.incrementAndGet();
    }
  }
}
