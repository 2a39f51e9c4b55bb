package org.cactusseam.logic.replay;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * LRU cache of prompt blocks whose prefill an engine can skip. The caller evicts explicitly, so
 * that it can report the evicted blocks.
 */
final class PrefixCache {

  private final int capacity;
  private final LinkedHashSet<Long> blocks = new LinkedHashSet<>();

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Returns the number of leading blocks that are cached and marks them as recently used. */
  int lookUp(List<Long> prefix) {
    int hits = 0;
    for (Long block : prefix) {
      if (!blocks.contains(block)) {
        break;
      }
      blocks.addLast(block);
      hits++;
    }
    return hits;
  }

  /** Adds a block, or marks it as recently used if it is cached. Returns whether it was added. */
  boolean store(Long block) {
    if (capacity == 0) {
      return false;
    }
    boolean absent = !blocks.contains(block);
    blocks.addLast(block);
    return absent;
  }

  /** Removes the blocks beyond the capacity and returns them, the least recently used first. */
  List<Long> evict() {
    List<Long> evicted = new ArrayList<>();
    while (blocks.size() > capacity) {
      evicted.add(blocks.removeFirst());
    }
    return evicted;
  }

  int size() {
    return blocks.size();
  }

  void clear() {
    blocks.clear();
  }
}
