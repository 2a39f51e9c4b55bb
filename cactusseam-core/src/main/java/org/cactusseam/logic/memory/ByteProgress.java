package org.cactusseam.logic.memory;

import java.time.Duration;
import java.time.Instant;

/**
 * Progress of a transfer, measured in bytes within a time. A timer that each byte starts again
 * would let a client hold memory without end. Not thread-safe.
 */
public final class ByteProgress {

  /**
   * Bytes that count as progress within one period. Below the rate of the slowest callers: 16 KiB
   * within 15 s are 9 kbit/s.
   */
  static final long MINIMUM_BYTES = 16 << 10;

  /**
   * Longest interval between two checks that counts as time of the client. After a longer one, the
   * process was stopped, and what the client sent meanwhile has not been read yet.
   */
  private static final Duration MAXIMUM_CHECK_INTERVAL = Duration.ofSeconds(3);

  private Instant periodStart;
  private Instant checkedAt;
  private long bytesAtStart;

  /**
   * Starts a period.
   *
   * @param bytes bytes transferred so far
   * @param now current time
   */
  public ByteProgress(long bytes, Instant now) {
    this.periodStart = now;
    this.checkedAt = now;
    this.bytesAtStart = bytes;
  }

  /** Starts a new period, because the transfer is complete or waits for this process. */
  public void restart(long bytes, Instant now) {
    periodStart = now;
    checkedAt = now;
    bytesAtStart = bytes;
  }

  /**
   * Leaves out a time in which the process was stopped.
   *
   * @param stopped length of the time
   * @param now current time
   */
  public void skipTime(Duration stopped, Instant now) {
    periodStart = shift(periodStart, stopped, now);
    checkedAt = shift(checkedAt, stopped, now);
  }

  /**
   * Moves the start of a period by a time in which the process was stopped. A period that started
   * after that time begins now at the latest.
   *
   * @param start start of the period
   * @param stopped length of the time
   * @param now current time
   * @return new start of the period
   */
  public static Instant shift(Instant start, Duration stopped, Instant now) {
    Instant shifted = start.plus(stopped);
    return shifted.isAfter(now) ? now : shifted;
  }

  /**
   * Returns the time without progress. Must be called about once a second.
   *
   * @param bytes bytes transferred so far
   * @param now current time
   * @return time since the last {@value #MINIMUM_BYTES} bytes, zero if they have just arrived
   */
  public Duration timeWithoutProgress(long bytes, Instant now) {
    if (bytes - bytesAtStart >= MINIMUM_BYTES
        || checkedAt.plus(MAXIMUM_CHECK_INTERVAL).isBefore(now)) {
      restart(bytes, now);
    }
    checkedAt = now;
    return Duration.between(periodStart, now);
  }
}
