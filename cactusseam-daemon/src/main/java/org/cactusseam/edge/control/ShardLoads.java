package org.cactusseam.edge.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.ShardLoad;
import org.cactusseam.model.message.PeerMessage;

/**
 * Keeps the last published load of each shard and counts the requests that this daemon has sent
 * since. Thread-safe.
 */
public final class ShardLoads {

  private final Map<ShardId, Entry> entries = new ConcurrentHashMap<>();

  private record Entry(ShardLoad load, AtomicInteger sentSince) {}

  void update(List<PeerMessage.ShardLoadEntry> loads) {
    for (PeerMessage.ShardLoadEntry load : loads) {
      entries.put(load.shard(), new Entry(load.load(), new AtomicInteger()));
    }
  }

  /**
   * Returns the expected wait of a request for a permit that is sent to a shard now.
   *
   * @param shard shard to estimate
   * @param rank rank of the priority class of the request
   * @return wait in milliseconds; 0 if no load is known
   */
  public double expectedWaitMillis(ShardId shard, int rank) {
    Entry entry = entries.get(shard);
    return entry == null
        ? ShardLoad.NONE.expectedWaitMillis(rank, 0)
        : entry.load.expectedWaitMillis(rank, entry.sentSince.get());
  }

  /**
   * Counts a request for a permit that this daemon sends to a shard.
   *
   * @param shard shard that the request goes to
   */
  public void recordSent(ShardId shard) {
    Entry entry = entries.get(shard);
    if (entry != null) {
      entry.sentSince.incrementAndGet();
    }
  }
}
