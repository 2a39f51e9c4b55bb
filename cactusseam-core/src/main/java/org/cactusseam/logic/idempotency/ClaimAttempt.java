package org.cactusseam.logic.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cactusseam.model.claim.ClaimEntry;
import org.cactusseam.model.claim.ClaimId;

/**
 * State of one attempt to execute a request that must not be executed twice, from its claim to its
 * end.
 */
final class ClaimAttempt {

  /** Lifecycle phase of an attempt. */
  enum Phase {
    /** The claim is queued or was appended, but has not been read back from the log. */
    CLAIMING,
    /** Another claim holds the key, and its state was queried from the daemon that made it. */
    QUERYING,
    /**
     * Another claim holds the key but was abandoned by its daemon; its release has not been read
     * from the log.
     */
    AWAITING_RELEASE,
    /** The attempt holds the key and may be sent until its phase expires. */
    PERMITTED,
    /** The attempt was sent to a backend server. */
    RUNNING
  }

  final ClaimEntry.Claimed claim;
  final Instant deadline;
  Phase phase = Phase.CLAIMING;
  Instant phaseEnd;
  Optional<ClaimId> queriedClaim = Optional.empty();

  ClaimAttempt(ClaimEntry.Claimed claim, Instant deadline) {
    this.claim = claim;
    this.deadline = deadline;
    this.phaseEnd = deadline;
  }

  /**
   * Grants or renews the dispatch lease, which permits the daemon to send the request.
   *
   * @param until time at which the lease expires, unless the deadline of the request is earlier
   */
  void permitSend(Instant until) {
    phase = Phase.PERMITTED;
    phaseEnd = until.isBefore(deadline) ? until : deadline;
  }

  /**
   * Returns when the attempt next needs a tick. A dispatch lease that can still be renewed is
   * renewed after half of its duration; every other phase is handled when it expires.
   *
   * @param leaseDuration duration of a dispatch lease
   */
  Instant nextTickAt(Duration leaseDuration) {
    boolean renewable = phase == Phase.PERMITTED && phaseEnd.isBefore(deadline);
    return renewable ? phaseEnd.minus(leaseDuration.dividedBy(2)) : phaseEnd;
  }
}
