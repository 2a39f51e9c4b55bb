package org.cactusseam.edge.control;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.ShardId;

/**
 * Since when this daemon has found no node that grants permits of a shard. It tells a change of
 * owner, which is worth waiting for, from a shard that stays without one. Confined to the control
 * thread.
 */
final class ShardOutages {

  private final Duration takeoverLimit;
  private final Map<ShardId, Outage> outages = new HashMap<>();

  private record Outage(Instant since, Instant lastNoted) {}

  /**
   * Creates an empty table.
   *
   * @param takeoverLimit longest time that a successor needs while the log can be read
   */
  ShardOutages(Duration takeoverLimit) {
    this.takeoverLimit = takeoverLimit;
  }

  /**
   * Notes that no node that may grant has answered. A shard that nobody asked for during a whole
   * takeover may have had an owner in between, so its outage counts as a new one.
   *
   * @param shard shard
   * @param now current time
   */
  void noted(ShardId shard, Instant now) {
    Instant since =
        Optional.ofNullable(outages.get(shard))
            .filter(known -> known.lastNoted.plus(takeoverLimit).isAfter(now))
            .map(Outage::since)
            .orElse(now);
    outages.put(shard, new Outage(since, now));
  }

  /**
   * Notes that a node that may grant has answered.
   *
   * @param shard shard
   */
  void ended(ShardId shard) {
    outages.remove(shard);
  }

  /**
   * Tells whether a successor is likely to grant soon.
   *
   * @param shard shard
   * @param now current time
   * @return true unless the shard has been without owner for longer than a takeover takes
   */
  boolean isTakeoverExpected(ShardId shard, Instant now) {
    Outage known = outages.get(shard);
    return known == null || known.since.plus(takeoverLimit).isAfter(now);
  }
}
