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
 * Token bucket that limits the rate of orders that read from the weight store. One daemon at a time
 * holds the bucket. It starts empty, so a change of the holder never increases the rate, and has a
 * capacity of one token, because the weight store does not allow bursts.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
public final class StoreRateLimiter {

  private final Clock clock;
  private final Duration interval;
  private final SequencedSet<Long> queue = new LinkedHashSet<>();
  private Optional<Instant> nextTokenAt = Optional.empty();

  /**
   * Creates a bucket that is not held by this daemon.
   *
   * @param clock clock that determines when tokens are due
   * @param interval minimum time between two tokens
   */
  public StoreRateLimiter(Clock clock, Duration interval) {
    this.clock = clock;
    this.interval = interval;
  }

  /**
   * Sets whether this daemon holds the bucket. The same lease rules and takeover waits apply as for
   * a shard.
   *
   * @param held whether this daemon's lease on the bucket is valid
   */
  public void setHeld(boolean held) {
    if (!held) {
      nextTokenAt = Optional.empty();
      queue.clear();
    } else if (nextTokenAt.isEmpty()) {
      nextTokenAt = Optional.of(clock.instant().plus(interval));
    }
  }

  /**
   * Queues a request for a token. A repeated request keeps its position in the queue; requests are
   * ignored while the bucket is not held.
   *
   * @param order log offset of the order that needs the token
   */
  public void request(long order) {
    if (nextTokenAt.isPresent()) {
      queue.add(order);
    }
  }

  /**
   * Grants the token that is due, if any.
   *
   * @return log offsets of the orders that receive a token, at most one per interval
   */
  public List<Long> grant() {
    Instant now = clock.instant();
    List<Long> granted = new ArrayList<>();
    if (!queue.isEmpty() && nextTokenAt.isPresent() && !now.isBefore(nextTokenAt.get())) {
      granted.add(queue.removeFirst());
      nextTokenAt = Optional.of(now.plus(interval));
    }
    return granted;
  }
}
