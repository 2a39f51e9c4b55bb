package org.cactusseam.logic.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Predicate;
import org.cactusseam.model.gateway.KvCopyReference;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Copies of the memory of one run, the best one first. A copy is used once at most. A run that a
 * server has rejected adds none.
 */
public final class KvCopies {

  private final Deque<Copy> copies = new ArrayDeque<>();

  /**
   * A copy of a run's memory.
   *
   * @param holder server that continues the run
   * @param continuation names the copy
   */
  public record Copy(ServerInstance holder, KvCopyReference continuation) {}

  /**
   * Adds a copy that is newer than all others.
   *
   * @param copy copy
   */
  public void add(Copy copy) {
    copies.addFirst(copy);
  }

  /**
   * Takes the newest copy whose holder can still be used. Older ones stay for the case that this
   * one is rejected.
   *
   * @param usable whether a server may receive requests
   * @return copy, absent if none is left
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
