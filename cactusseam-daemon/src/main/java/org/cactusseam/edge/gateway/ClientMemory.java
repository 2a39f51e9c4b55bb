package org.cactusseam.edge.gateway;

import java.time.Clock;
import java.time.Duration;
import org.cactusseam.logic.memory.IncompleteHeads;
import org.cactusseam.logic.memory.MemoryBudget;
import org.cactusseam.model.gateway.MemorySettings;

/** Memory of this process that is held for callers. Tells owners when theirs is granted. */
final class ClientMemory {

  /**
   * Default share of the heap. The rest is for the state of the gateway, for responses, and for
   * what the collector has not freed yet.
   */
  private static final double HEAP_SHARE = 0.4;

  /** Owner of a reservation. */
  interface Owner {

    /** Called when a reservation that had to wait is granted. */
    void onGranted();

    /** Called when a reservation has waited for too long. The owner holds nothing any more. */
    void onRefused();
  }

  /** Memory of the longest head that the library decodes, 32 KiB. */
  private static final long MAX_HEAD_MEMORY = 1 << 20;

  private final Clock clock;
  private final MemoryBudget.Limits limits;
  private final IncompleteHeads<CallerConnection> incompleteHeads;
  private final MemoryBudget<Owner> budget;

  ClientMemory(Clock clock, MemorySettings settings) {
    this.clock = clock;
    long total =
        settings.clientBytes().orElse((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
    this.limits = MemoryBudget.Limits.ofTotal(total);
    this.budget = new MemoryBudget<>(limits);
    this.incompleteHeads = new IncompleteHeads<>(limits, MAX_HEAD_MEMORY);
  }

  /** Reserves bytes; if this returns false, the owner is called later. */
  boolean reserve(Owner owner, String address, long bytes) {
    return budget.reserve(owner, address, bytes, clock.instant());
  }

  /** Ends a reservation, if there is one, and grants what waits for it. */
  void release(Owner owner) {
    if (budget.heldBytes(owner).isPresent()) {
      budget.release(owner);
      budget.takeGranted().forEach(Owner::onGranted);
    }
  }

  void skipTime(Duration stopped) {
    budget.skipTime(stopped, clock.instant());
  }

  /** Grants what fits, and refuses only what does not fit after that. */
  void tick() {
    budget.takeGranted().forEach(Owner::onGranted);
    budget.takeRefused(clock.instant()).forEach(Owner::onRefused);
    budget.takeGranted().forEach(Owner::onGranted);
  }

  IncompleteHeads<CallerConnection> incompleteHeads() {
    return incompleteHeads;
  }

  long heldBytes(Owner owner) {
    return budget.heldBytes(owner).orElse(0);
  }

  /** Returns whether a reservation is so large that its end helps those that wait. */
  boolean isLarge(long bytes) {
    return bytes > limits.smallBytes();
  }

  boolean isExhausted() {
    return budget.isExhausted();
  }

  long heldBytes() {
    return budget.heldBytes();
  }
}
