package org.cactusseam.logic.admission;

import java.util.Arrays;

/**
 * Forecasts the peak engine memory of one backend server. All streams are assumed to advance at the
 * same speed, and a stream frees its memory when its expected remaining output is generated. The
 * sum of all expected final sizes would be too high, because short streams end before long ones
 * reach their peak.
 */
final class MemoryForecast {

  /**
   * For each stream its expected remaining tokens, with its index in the lowest 20 bits, so that
   * sorting the numbers orders the streams.
   */
  private long[] order = new long[16];

  private float[] held = new float[16];
  private float[] scratch = new float[16];
  private float[] remaining = new float[16];
  private int size;

  /** Removes all streams. */
  void clear() {
    size = 0;
  }

  /**
   * Adds a stream; {@link #sort} must be called after the last one.
   *
   * @param heldTokens tokens that the stream holds in engine memory now
   * @param remainingTokens expected number of tokens that are not generated yet
   */
  void add(double heldTokens, double remainingTokens) {
    if (size == order.length) {
      order = Arrays.copyOf(order, size * 2);
      held = Arrays.copyOf(held, size * 2);
      scratch = new float[size * 2];
      remaining = Arrays.copyOf(remaining, size * 2);
    }
    held[size] = (float) heldTokens;
    order[size] = ((long) Math.min(remainingTokens, 1L << 30) << 20) | size;
    size++;
  }

  /** Sorts the streams by their expected end, the latest first. */
  void sort() {
    Arrays.sort(order, 0, size);
    for (int index = 0; index < size; index++) {
      long entry = order[size - 1 - index];
      scratch[index] = held[(int) (entry & ((1 << 20) - 1))];
      remaining[index] = entry >> 20;
    }
    float[] unsorted = held;
    held = scratch;
    scratch = unsorted;
  }

  /**
   * Returns the expected peak if one more stream is added.
   *
   * @param heldTokens tokens that the new stream needs at its start
   * @param remainingTokens expected output of the new stream, in tokens
   * @return peak, in tokens
   */
  double peakWith(double heldTokens, double remainingTokens) {
    double peak = 0;
    double sum = 0;
    int count = 0;
    boolean added = false;
    for (int index = 0; index < size; index++) {
      if (!added && remaining[index] <= remainingTokens) {
        added = true;
        sum += heldTokens;
        count++;
        peak = Math.max(peak, sum + count * remainingTokens);
      }
      sum += held[index];
      count++;
      peak = Math.max(peak, sum + count * remaining[index]);
    }
    if (!added) {
      peak = Math.max(peak, sum + heldTokens + (count + 1) * remainingTokens);
    }
    return peak;
  }
}
