package org.cactusseam.logic.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one backend server probably holds in its prefix cache. Own dispatches count at once as
 * stored, because cache events come late; an eviction event removes the entry. After a gap in the
 * numbers of the events, entries that no later event confirms count half.
 */
final class PrefixCacheView {

  private static final int MAXIMUM_ENTRIES = 4_096;
  private static final double UNSURE = 0.5;

  private final Map<Long, Long> entries = new LinkedHashMap<>(64, 0.75f, true);
  private long lastEvent = -1;
  private long generation;

  /** Notes that a prompt with these prefixes is sent to the server. */
  void dispatched(List<Long> prefixes) {
    for (Long prefix : prefixes) {
      store(prefix);
    }
  }

  /**
   * Notes a cache event of the server.
   *
   * @param number number of the event; a missing number is a gap
   * @param stored true if the prefix was stored, false if it was evicted
   * @param prefix hash of the prefix
   */
  void event(long number, boolean stored, long prefix) {
    if (number <= lastEvent) {
      return;
    }
    if (lastEvent >= 0 && number > lastEvent + 1) {
      generation++;
    }
    lastEvent = number;
    if (stored) {
      store(prefix);
    } else {
      entries.remove(prefix);
    }
  }

  /** Forgets everything, because the server restarted. */
  void clear() {
    entries.clear();
    lastEvent = -1;
  }

  /**
   * Returns the part of the prompt's prefix blocks that the server probably holds.
   *
   * @param prefixes hashes, shortest prefix first
   * @return 0 to 1
   */
  double match(List<Long> prefixes) {
    for (int index = prefixes.size() - 1; index >= 0; index--) {
      Long known = entries.get(prefixes.get(index));
      if (known != null) {
        double sure = known == generation ? 1 : UNSURE;
        return sure * (index + 1) / prefixes.size();
      }
    }
    return 0;
  }

  private void store(long prefix) {
    entries.put(prefix, generation);
    if (entries.size() > MAXIMUM_ENTRIES) {
      Iterator<Long> oldest = entries.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }
}
