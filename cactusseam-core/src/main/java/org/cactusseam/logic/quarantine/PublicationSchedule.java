package org.cactusseam.logic.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusseam.model.quarantine.Conviction;

/**
 * Decides when a gateway writes a conviction to the platform's store. All gateways reach a
 * conviction at about the same time and one record is enough, so each waits for a time that depends
 * on its name, and writes only if none has appeared.
 */
public final class PublicationSchedule {

  /**
   * Waiting time for each gateway that shares the work. Longer than a write and the read of another
   * gateway take together, some 10 ms in ordinary operation.
   */
  private static final Duration WAIT_PER_GATEWAY = Duration.ofMillis(20);

  /** A conviction has to be known to all gateways within a few seconds. */
  private static final Duration MAX_WAIT = Duration.ofSeconds(1);

  /** Time before a write is repeated, which failed or may have failed. */
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

  private final String node;
  private final Map<String, Pending> pending = new HashMap<>();

  private record Pending(Conviction conviction, Instant dueAt) {}

  /**
   * Creates an empty schedule.
   *
   * @param node name of this gateway
   */
  public PublicationSchedule(String node) {
    this.node = node;
  }

  /**
   * Adds a conviction that the store may not contain.
   *
   * @param conviction conviction that this gateway has reached or learned from another one
   * @param gatewayCount number of gateways that may write it, this one included
   * @param now current time
   */
  public void add(Conviction conviction, int gatewayCount, Instant now) {
    Duration window = WAIT_PER_GATEWAY.multipliedBy(Math.max(0, gatewayCount - 1));
    long limit = Math.min(window.toMillis(), MAX_WAIT.toMillis());
    int position = (node + conviction.fingerprint()).hashCode();
    Duration wait = Duration.ofMillis(Math.floorMod(position, limit + 1));
    pending.put(conviction.fingerprint(), new Pending(conviction, now.plus(wait)));
  }

  /**
   * Records that the store contains a conviction.
   *
   * @param stored conviction as it was read
   */
  public void recordStored(Conviction stored) {
    pending.computeIfPresent(
        stored.fingerprint(),
        (cause, entry) -> entry.conviction().untilMillis() > stored.untilMillis() ? entry : null);
  }

  /**
   * Returns the convictions to write now. They are returned again later, unless {@link
   * #recordStored} is called.
   *
   * @param now current time
   * @return convictions that are due
   */
  public List<Conviction> takeDue(Instant now) {
    pending.values().removeIf(entry -> entry.conviction().untilMillis() <= now.toEpochMilli());
    List<Conviction> due =
        pending.values().stream()
            .filter(entry -> !entry.dueAt().isAfter(now))
            .map(Pending::conviction)
            .toList();
    due.forEach(
        each -> pending.put(each.fingerprint(), new Pending(each, now.plus(RETRY_INTERVAL))));
    return due;
  }
}
