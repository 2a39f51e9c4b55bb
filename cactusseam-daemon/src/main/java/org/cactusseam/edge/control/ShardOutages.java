package org.cactusseam.edge.control;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.ShardId;

/**
 * Records since when no daemon grants permits of a shard, to distinguish a change of owner, which
 * is worth waiting for, from a shard that stays without an owner. Confined to the control thread.
 */
final class ShardOutages {

  private final Duration takeoverLimit;
  private final Map<ShardId, Outage> outages = new HashMap<>();

  private record Outage(Instant since, Instant lastSeen) {}

  /**
   * Creates an empty table.
   *
   * @param takeoverLimit longest time that a takeover takes while the log can be read
   */
  ShardOutages(Duration takeoverLimit) {
    this.takeoverLimit = takeoverLimit;
  }

  /**
   * Records that no daemon answered that may grant permits of a shard. A shard for which no permit
   * was requested during a whole takeover may have had an owner in between, so its outage counts as
   * a new one.
   *
   * @param shard shard without an owner
   * @param now current time
   */
  void recordOutage(ShardId shard, Instant now) {
    Instant since =
        Optional.ofNullable(outages.get(shard))
            .filter(outage -> outage.lastSeen.plus(takeoverLimit).isAfter(now))
            .map(Outage::since)
            .orElse(now);
    outages.put(shard, new Outage(since, now));
  }

  /**
   * Ends the outage of a shard, because a daemon that may grant its permits has answered.
   *
   * @param shard shard that has an owner
   */
  void clear(ShardId shard) {
    outages.remove(shard);
  }

  /**
   * Returns whether a successor is likely to grant permits soon.
   *
   * @param shard shard to check
   * @param now current time
   * @return true unless the shard has been without an owner for longer than a takeover takes
   */
  boolean isTakeoverExpected(ShardId shard, Instant now) {
    Outage outage = outages.get(shard);
    return outage == null || outage.since.plus(takeoverLimit).isAfter(now);
  }
}
