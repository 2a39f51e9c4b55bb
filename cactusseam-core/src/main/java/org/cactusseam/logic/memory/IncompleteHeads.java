package org.cactusseam.logic.memory;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Memory of request heads that have not arrived completely. Their reservations are small, so that
 * many of them would use up the part of a budget that is kept for ordinary requests. Not
 * thread-safe.
 *
 * @param <O> type of the owners, compared by identity
 */
public final class IncompleteHeads<O> {

  /** Share of the part of the budget that only small reservations use. */
  private static final double RESERVE_SHARE = 0.75;

  private final long maximumBytes;
  private final long maximumBytesOfOwner;
  private final Map<O, Long> heads = new LinkedHashMap<>();
  private long bytes;

  /**
   * Creates an empty set of heads.
   *
   * @param limits limits of the budget from which the heads are reserved
   * @param maximumBytesOfOwner maximum of one head
   */
  public IncompleteHeads(MemoryBudget.Limits limits, long maximumBytesOfOwner) {
    this.maximumBytes = (long) (limits.reserveBytes() * RESERVE_SHARE);
    this.maximumBytesOfOwner = maximumBytesOfOwner;
  }

  /**
   * Records the size of a head. A head that is recorded again keeps its age.
   *
   * @param owner owner of the head
   * @param headBytes memory of the whole head
   */
  public void record(O owner, long headBytes) {
    Long before = heads.put(owner, headBytes);
    bytes += headBytes - (before == null ? 0 : before);
  }

  /** Removes a head, because it is complete or its connection is closed. */
  public void remove(O owner) {
    Long before = heads.remove(owner);
    bytes -= before == null ? 0 : before;
  }

  /**
   * Removes the heads that are too large, and the oldest until the others are within the limit.
   *
   * @return owners whose connections are to be closed
   */
  public List<O> takeExcess() {
    if (bytes == 0) {
      return List.of();
    }
    List<O> excess = new ArrayList<>();
    heads.forEach(
        (owner, headBytes) -> {
          if (headBytes > maximumBytesOfOwner) {
            excess.add(owner);
          }
        });
    excess.forEach(this::remove);
    while (bytes > maximumBytes) {
      O oldest = heads.keySet().iterator().next();
      remove(oldest);
      excess.add(oldest);
    }
    return excess;
  }
}
