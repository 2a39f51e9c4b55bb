package org.cactusseam.logic.orders;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.SequencedSet;

/**
 * Token bucket of the weight store, held by one node. A bucket starts empty, so a change of its
 * holder never raises the rate; the bucket holds one token, because the store has no burst.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class StoreRateLimiter {

  private final Clock clock;
  private final Duration interval;
  private final SequencedSet<Long> waiting = new LinkedHashSet<>();
  private Optional<Instant> nextToken = Optional.empty();

  /**
   * Creates a bucket that this node does not hold.
   *
   * @param clock source of time
   * @param interval time between two orders
   */
  public StoreRateLimiter(Clock clock, Duration interval) {
    this.clock = clock;
    this.interval = interval;
  }

  /**
   * Sets whether this node holds the bucket, by the same rules and waits as a shard.
   *
   * @param held whether the node's lease on the bucket is valid
   */
  public void setHeld(boolean held) {
    if (!held) {
      nextToken = Optional.empty();
      waiting.clear();
    } else if (nextToken.isEmpty()) {
      nextToken = Optional.of(clock.instant().plus(interval));
    }
  }

  /**
   * Queues a question for a token; repeating it keeps its place.
   *
   * @param order offset of the order
   */
  public void request(long order) {
    if (nextToken.isPresent()) {
      waiting.add(order);
    }
  }

  /**
   * Grants the tokens that are due.
   *
   * @return orders that may be sent, at most one for each interval
   */
  public List<Long> grant() {
    Instant now = clock.instant();
    List<Long> granted = new ArrayList<>();
    if (!waiting.isEmpty() && nextToken.isPresent() && !now.isBefore(nextToken.get())) {
      granted.add(waiting.removeFirst());
      nextToken = Optional.of(now.plus(interval));
    }
    return granted;
  }
}
