package org.cactusseam.logic.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimate of the content of one backend server's prefix cache. Prefixes of dispatched prompts
 * count as stored at once, because cache events arrive late; an eviction event removes the entry.
 * After a gap in the sequence numbers of the events, entries that no later event confirms count
 * half.
 */
final class PrefixCacheView {

  private static final int MAXIMUM_ENTRIES = 4_096;
  private static final double UNCERTAIN_WEIGHT = 0.5;

  /** Value of {@link #gaps} when each prefix was last stored, least recently used prefix first. */
  private final Map<Long, Long> entries = new LinkedHashMap<>(64, 0.75f, true);

  private long lastEventNumber = -1;

  /** Number of gaps in the event numbers so far. */
  private long gaps;

  /** Records that a prompt with these prefixes is sent to the server. */
  void recordDispatch(List<Long> prefixes) {
    for (Long prefix : prefixes) {
      store(prefix);
    }
  }

  /**
   * Processes a cache event of the server. Events with a number that is not above the last one are
   * ignored.
   *
   * @param number sequence number of the event; a missing number is a gap
   * @param stored true if the prefix was stored, false if it was evicted
   * @param prefix hash of the prefix
   */
  void recordEvent(long number, boolean stored, long prefix) {
    if (number <= lastEventNumber) {
      return;
    }
    if (lastEventNumber >= 0 && number > lastEventNumber + 1) {
      gaps++;
    }
    lastEventNumber = number;
    if (stored) {
      store(prefix);
    } else {
      entries.remove(prefix);
    }
  }

  /** Removes all entries, because the server restarted. */
  void clear() {
    entries.clear();
    lastEventNumber = -1;
  }

  /**
   * Returns the fraction of a prompt's prefix blocks that the server probably holds.
   *
   * @param prefixes hashes of the prompt's prefixes, the shortest first
   * @return 0 to 1; an uncertain match counts half
   */
  double match(List<Long> prefixes) {
    for (int index = prefixes.size() - 1; index >= 0; index--) {
      Long gapsWhenStored = entries.get(prefixes.get(index));
      if (gapsWhenStored != null) {
        double weight = gapsWhenStored == gaps ? 1 : UNCERTAIN_WEIGHT;
        return weight * (index + 1) / prefixes.size();
      }
    }
    return 0;
  }

  private void store(long prefix) {
    entries.put(prefix, gaps);
    if (entries.size() > MAXIMUM_ENTRIES) {
      Iterator<Long> oldest = entries.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }
}
