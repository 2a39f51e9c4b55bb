package org.cactusseam.edge.client;

import java.time.Clock;
import java.time.Duration;
import org.cactusseam.logic.memory.IncompleteHeads;
import org.cactusseam.logic.memory.MemoryBudget;

/** Memory of this process that is held for callers. Tells owners when theirs is granted. */
public final class ClientMemory {

  /**
   * Default share of the heap. The rest is for the state of the process, for responses, and for
   * what the collector has not freed yet.
   */
  public static final double HEAP_SHARE = 0.4;

  /** Owner of a reservation. */
  interface Owner {

    /** Called when a reservation that had to wait is granted. */
    void onGranted();

    /** Called when a reservation has waited for too long. The owner holds nothing any more. */
    void onRefused();
  }

  /** Memory for each byte of a head: a header line of six bytes takes up to 200 when decoded. */
  static final long MEMORY_PER_HEAD_BYTE = 32;

  /**
   * Bytes received for one request beside its body, as a multiple of the longest head. Covers the
   * head and requests that follow on the same connection.
   */
  private static final long FRAMING_FACTOR = 4;

  /** One address can have 9/16 of a budget, see {@link MemoryBudget.Limits}. */
  private static final long ADDRESS_DIVISOR = 2;

  /** Incomplete heads can have 3/16 of a budget, see {@link IncompleteHeads}. */
  private static final long INCOMPLETE_HEADS_DIVISOR = 6;

  private final Clock clock;
  private final MemoryBudget.Limits limits;
  private final IncompleteHeads<CallerConnection> incompleteHeads;
  private final MemoryBudget<Owner> budget;
  private final long maxFramingBytes;

  /**
   * Creates an unused budget.
   *
   * @param clock source of the current time
   * @param totalBytes bytes that are held for all clients together
   * @param maxHeadBytes longest head that the HTTP decoder accepts
   */
  public ClientMemory(Clock clock, long totalBytes, int maxHeadBytes) {
    this.clock = clock;
    this.limits = MemoryBudget.Limits.ofTotal(totalBytes);
    this.budget = new MemoryBudget<>(limits);
    this.incompleteHeads = new IncompleteHeads<>(limits, maxHeadBytes * MEMORY_PER_HEAD_BYTE);
    this.maxFramingBytes = FRAMING_FACTOR * maxHeadBytes;
  }

  /**
   * Returns the size of the smallest budget that serves every single request within the limits.
   *
   * @param bodyBytes longest body
   * @param maxHeadBytes longest head that the HTTP decoder accepts
   * @return size in bytes
   */
  public static long minimumBytes(int bodyBytes, int maxHeadBytes) {
    long headMemory = maxHeadBytes * MEMORY_PER_HEAD_BYTE;
    long requestMemory = headMemory + BodyReader.REQUEST_BYTES + bodyBytes;
    return Math.max(ADDRESS_DIVISOR * requestMemory, INCOMPLETE_HEADS_DIVISOR * headMemory);
  }

  /** Returns the maximum of the bytes of a request beside its body. */
  long maxFramingBytes() {
    return maxFramingBytes;
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
