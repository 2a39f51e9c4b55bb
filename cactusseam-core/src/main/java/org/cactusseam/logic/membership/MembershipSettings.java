package org.cactusseam.logic.membership;

import java.time.Duration;

/**
 * Durations and bounds of membership and leases. All nodes of a deployment must use the same lease,
 * permit validity and drift margin, because a successor waits for the lease of its predecessor.
 *
 * @param lease how long a lease stays valid after a read of the log or an answered ping was sent
 * @param permitValidity how long a granted permit may be used
 * @param driftMargin allowance for clocks of different nodes that run at different rates
 * @param failureDetectionTimeout time without an answer after which a member may be expelled
 * @param vmListLag greatest time by which the VM list lags behind the actual state
 * @param pingInterval time between two pings to the same member
 * @param appendRetryInterval time after which an append is repeated if its record was not read back
 * @param monitoredMembers number of responsive members that each node pings in a large region
 * @param fullMeshMaxMembers size of a region up to which each node pings all others; in a larger
 *     full mesh, pings are most of the traffic of an idle node
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

  /**
   * Default settings: lease 3 s, permit validity 1 s, drift margin 500 ms, failure detection 2 s.
   */
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
   * Returns how long a successor waits after it read the record that made it the owner, so that the
   * lease and the permits of its predecessor have expired.
   *
   * @return sum of lease, permit validity and drift margin
   */
  public Duration takeoverWait() {
    return lease.plus(permitValidity).plus(driftMargin);
  }

  /**
   * Returns how long a successor waits if its predecessor has provably ended: only permits that
   * were granted before can still be used.
   *
   * @return sum of permit validity and drift margin
   */
  public Duration takeoverWaitAfterExit() {
    return permitValidity.plus(driftMargin);
  }

  /**
   * Returns the longest time from the failure of an owner to the first grant of its successor while
   * the log is available.
   *
   * @return sum of failure detection, takeover wait, and 1 s for rank delays and reads of the log
   */
  public Duration takeoverLimit() {
    return failureDetectionTimeout.plus(takeoverWait()).plusSeconds(1);
  }
}
