package org.cactusseam.logic.membership;

import java.time.Duration;

/**
 * Times and bounds of membership and leases. All nodes of a deployment must use the same lease,
 * permit validity and margin.
 *
 * @param lease F: how long a read of the log or an answered ping keeps a lease valid
 * @param permitValidity how long a granted permit may be used
 * @param driftMargin allowance for clocks that run at different rates
 * @param failureDetectionTimeout silence after which a member may be expelled
 * @param vmListLag greatest lag of the VM list behind the actual state
 * @param pingInterval time between two pings to the same member
 * @param appendRetryInterval time after which an append whose record was not seen is repeated
 * @param monitoredMembers number of responsive members that a node pings in a large region
 * @param fullMeshMaxMembers members of a region up to which each node pings all others; in a larger
 *     mesh pings are most of what an idle node sends
 */
public record MembershipSettings(
    Duration lease,
    Duration permitValidity,
    Duration driftMargin,
    Duration failureDetectionTimeout,
    Duration vmListLag,
    Duration pingInterval,
    Duration appendRetryInterval,
    int monitoredMembers,
    int fullMeshMaxMembers) {

  /** Settings of the design page. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(
          Duration.ofSeconds(3),
          Duration.ofSeconds(1),
          Duration.ofMillis(500),
          Duration.ofSeconds(2),
          Duration.ofSeconds(30),
          Duration.ofMillis(500),
          Duration.ofSeconds(1),
          3,
          8);

  /**
   * Returns D: how long a successor waits after it read the record that made it the owner.
   *
   * @return lease, permit validity and margin together
   */
  public Duration takeoverWait() {
    return lease.plus(permitValidity).plus(driftMargin);
  }

  /**
   * Returns how long a successor waits for the permits of a run that is certain to have ended.
   *
   * @return permit validity and margin together
   */
  public Duration takeoverWaitAfterExit() {
    return permitValidity.plus(driftMargin);
  }

  /**
   * Returns the longest time from the failure of an owner to the grants of its successor while the
   * log can be read.
   *
   * @return detection, the wait of the successor, and 1 s for ranked appends and reads of the log
   */
  public Duration takeoverLimit() {
    return failureDetectionTimeout.plus(takeoverWait()).plusSeconds(1);
  }
}
