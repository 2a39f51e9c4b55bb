package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;

/**
 * Number of VMs over which the request rates of cold servers are divided. A VM that has just
 * started knows no other one. If it counted itself alone, VMs that start together would each use
 * the whole rate, so a large number is assumed until the list of VMs has been read.
 */
public final class SharerCount {

  /** Number of VMs up to which the shares of VMs that have just started stay within the rate. */
  private static final int ASSUMED_VMS = 24;

  /** Time in which VMs that start together write their entries and read those of the others. */
  private static final Duration REGISTRATION_TIME = Duration.ofSeconds(2);

  /** Time after which a VM counts those that it knows, because the store may be unavailable. */
  private static final Duration MAX_ASSUMED_TIME = Duration.ofSeconds(5);

  private final Instant startedAt;
  private boolean isListRead;

  /**
   * Creates the count of a VM that has not read the list of VMs.
   *
   * @param startedAt start of the process
   */
  public SharerCount(Instant startedAt) {
    this.startedAt = startedAt;
  }

  /** Records that the list of VMs was read, with the entry of this VM in it. */
  public void recordListRead() {
    isListRead = true;
  }

  /**
   * Returns the number of VMs over which the rates are divided.
   *
   * @param known number of VMs that are known, including this one
   * @return known number, or a larger one while others may be unknown
   */
  public int count(int known, Instant now) {
    Duration minimum = isListRead ? REGISTRATION_TIME : MAX_ASSUMED_TIME;
    boolean isAssumed = now.isBefore(startedAt.plus(minimum));
    return isAssumed ? Math.max(ASSUMED_VMS, known) : known;
  }
}
