package org.cactusseam.logic.replay;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;

/** Blocks of prompts that need no computation, with eviction of the least recently used block. */
final class PrefixCache {

  private final int capacity;
  private final LinkedHashSet<Long> blocks = new LinkedHashSet<>();

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Counts the leading blocks that are present and marks them as used. */
  int use(List<Long> prefix) {
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

  /** Adds a block or marks it as used. Returns whether it was absent. */
  boolean store(Long block) {
    if (capacity == 0) {
      return false;
    }
    boolean absent = !blocks.contains(block);
    blocks.addLast(block);
    return absent;
  }

  /** Removes what exceeds the capacity and returns it, the oldest block first. */
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
