package org.cactusseam.logic.memory;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Memory that a process holds for its clients. Bytes are reserved before they are read. What does
 * not fit waits for a short time in order of arrival, and is refused afterwards. A part of the
 * budget is kept for small reservations, so that a few clients with large ones do not stop all
 * others, and each address has a share of the rest. Not thread-safe.
 *
 * @param <O> type of the owners, compared by identity
 */
public final class MemoryBudget<O> {

  /**
   * Limits of a budget.
   *
   * @param totalBytes all bytes together
   * @param reserveBytes part of the total that only small reservations use
   * @param addressBytes maximum of the large reservations of one address; a single reservation is
   *     not subject to it
   * @param smallBytes maximum size of a small reservation
   * @param maximumWait time after which a waiting reservation is refused
   */
  public record Limits(
      long totalBytes,
      long reserveBytes,
      long addressBytes,
      long smallBytes,
      Duration maximumWait) {

    /** A quarter of the total is kept for small reservations. */
    private static final long RESERVE_DIVISOR = 4;

    /**
     * One address uses at most three quarters of what is left to large reservations. It is not
     * less, because all callers behind one load balancer can have the same address.
     */
    private static final double ADDRESS_SHARE = 0.75;

    /** Heads have at most 32 KiB; nearly all bodies are shorter than the rest. */
    private static final long SMALL_BYTES = 64 << 10;

    /** Callers abandon a request that is not read within 1 s. */
    private static final Duration MAXIMUM_WAIT = Duration.ofMillis(500);

    /**
     * Returns the default division of a budget.
     *
     * @param totalBytes all bytes together
     * @return limits
     */
    public static Limits ofTotal(long totalBytes) {
      long reserve = totalBytes / RESERVE_DIVISOR;
      return new Limits(
          totalBytes,
          reserve,
          (long) ((totalBytes - reserve) * ADDRESS_SHARE),
          SMALL_BYTES,
          MAXIMUM_WAIT);
    }
  }

  private static final class Holding {
    private final String address;
    private long bytes;
    private long wantedBytes;
    private Instant waitingSince = Instant.MAX;

    Holding(String address) {
      this.address = address;
    }
  }

  private final Limits limits;
  private final Map<O, Holding> holdings = new HashMap<>();
  private final Map<O, Holding> waiting = new LinkedHashMap<>();
  private final Map<String, Long> largeBytesOfAddresses = new HashMap<>();
  private long heldBytes;
  private long largeBytes;

  /**
   * Creates an unused budget.
   *
   * @param limits limits of the budget
   */
  public MemoryBudget(Limits limits) {
    this.limits = limits;
  }

  /**
   * Reserves bytes, or waits for them. An owner has one reservation; a further call makes it larger
   * or smaller.
   *
   * @param owner owner of the reservation
   * @param address address of the client
   * @param bytes size of the whole reservation
   * @param now current time
   * @return whether the bytes are reserved; if not, the owner appears in {@link #takeGranted} or
   *     {@link #takeRefused} later
   */
  public boolean reserve(O owner, String address, long bytes, Instant now) {
    Holding holding = holdings.computeIfAbsent(owner, created -> new Holding(address));
    if (fits(holding, bytes)) {
      resize(holding, bytes);
      waiting.remove(owner);
      return true;
    }
    holding.wantedBytes = bytes;
    holding.waitingSince = now;
    waiting.put(owner, holding);
    return false;
  }

  private boolean isLarge(long bytes) {
    return bytes > limits.smallBytes();
  }

  private boolean fits(Holding holding, long bytes) {
    if (bytes <= holding.bytes) {
      return true;
    }
    if (heldBytes - holding.bytes + bytes > limits.totalBytes()) {
      return false;
    }
    if (!isLarge(bytes)) {
      return true;
    }
    long ownBytes = isLarge(holding.bytes) ? holding.bytes : 0;
    long ofOthers = largeBytes - ownBytes;
    long ofAddress = largeBytesOfAddresses.getOrDefault(holding.address, 0L) - ownBytes;
    return ofOthers + bytes <= limits.totalBytes() - limits.reserveBytes()
        && (ofAddress == 0 || ofAddress + bytes <= limits.addressBytes());
  }

  private void resize(Holding holding, long bytes) {
    long difference = (isLarge(bytes) ? bytes : 0) - (isLarge(holding.bytes) ? holding.bytes : 0);
    heldBytes += bytes - holding.bytes;
    largeBytes += difference;
    holding.bytes = bytes;
    if (difference != 0) {
      long ofAddress = largeBytesOfAddresses.merge(holding.address, difference, Long::sum);
      if (ofAddress == 0) {
        largeBytesOfAddresses.remove(holding.address);
      }
    }
  }

  /** Ends the reservation of an owner, whether it is held or waits. */
  public void release(O owner) {
    Holding holding = holdings.remove(owner);
    if (holding != null) {
      waiting.remove(owner);
      resize(holding, 0);
    }
  }

  /**
   * Reserves what fits of the waiting reservations, in order of arrival.
   *
   * @return owners that no longer wait
   */
  public List<O> takeGranted() {
    List<O> granted = new ArrayList<>();
    Iterator<Map.Entry<O, Holding>> entries = waiting.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<O, Holding> entry = entries.next();
      Holding holding = entry.getValue();
      if (fits(holding, holding.wantedBytes)) {
        resize(holding, holding.wantedBytes);
        entries.remove();
        granted.add(entry.getKey());
      }
    }
    return granted;
  }

  /**
   * Ends the reservations that have waited for too long.
   *
   * @param now current time
   * @return their owners, in order of arrival
   */
  public List<O> takeRefused(Instant now) {
    Instant limit = now.minus(limits.maximumWait());
    List<O> refused =
        waiting.entrySet().stream()
            .filter(entry -> entry.getValue().waitingSince.isBefore(limit))
            .map(Map.Entry::getKey)
            .toList();
    refused.forEach(this::release);
    return refused;
  }

  /**
   * Leaves out a time in which the process was stopped from the times for which reservations wait.
   *
   * @param stopped length of the time
   * @param now current time
   */
  public void skipTime(Duration stopped, Instant now) {
    for (Holding holding : waiting.values()) {
      holding.waitingSince = ByteProgress.shift(holding.waitingSince, stopped, now);
    }
  }

  /** Returns whether a reservation waits. */
  public boolean isExhausted() {
    return !waiting.isEmpty();
  }

  /** Returns all bytes that are reserved. */
  public long heldBytes() {
    return heldBytes;
  }

  /**
   * Returns the size of a reservation.
   *
   * @param owner owner of the reservation
   * @return bytes that the owner holds, without those that it waits for; empty if it has none
   */
  public OptionalLong heldBytes(O owner) {
    Holding holding = holdings.get(owner);
    return holding == null ? OptionalLong.empty() : OptionalLong.of(holding.bytes);
  }
}
