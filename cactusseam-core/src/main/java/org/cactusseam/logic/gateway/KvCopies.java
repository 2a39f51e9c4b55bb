package org.cactusseam.logic.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Predicate;
import org.cactusseam.model.gateway.KvCopyReference;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Copies of the KV cache of one run, newest first. Each copy is used at most once. A continuation
 * that a server has rejected adds no copy.
 */
public final class KvCopies {

  private final Deque<Copy> copies = new ArrayDeque<>();

  /**
   * A copy of the KV cache of a run.
   *
   * @param holder server that holds the copy and can continue the run
   * @param continuation reference by which the holder finds the copy
   */
  public record Copy(ServerInstance holder, KvCopyReference continuation) {}

  /** Adds a copy that is newer than all present ones. */
  public void add(Copy copy) {
    copies.addFirst(copy);
  }

  /**
   * Returns whether any copy can be used.
   *
   * @param usable tests whether a server may receive requests
   * @return whether {@link #poll} would return a copy
   */
  public boolean hasUsable(Predicate<ServerInstance> usable) {
    return copies.stream().map(Copy::holder).anyMatch(usable);
  }

  /**
   * Removes and returns the newest copy whose holder is still usable. Newer copies with unusable
   * holders are discarded; older ones are kept in case this one is rejected.
   *
   * @param usable tests whether a server may receive requests
   * @return copy, or empty if none is left
   */
  public Optional<Copy> poll(Predicate<ServerInstance> usable) {
    while (!copies.isEmpty()) {
      Copy copy = copies.removeFirst();
      if (usable.test(copy.holder())) {
        return Optional.of(copy);
      }
    }
    return Optional.empty();
  }
}
