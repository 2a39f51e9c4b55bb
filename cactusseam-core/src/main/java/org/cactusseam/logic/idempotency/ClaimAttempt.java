package org.cactusseam.logic.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cactusseam.model.claim.ClaimEntry;
import org.cactusseam.model.claim.ClaimId;

/** One attempt to run a request that must not run twice, from its claim to its end. */
final class ClaimAttempt {

  /** How far an attempt has come. */
  enum Phase {
    /** The claim is queued, sent, or not read yet. */
    CLAIMING,
    /** Another claim holds the key, and its node was asked. */
    ASKING,
    /** Another claim holds the key, and its node gave it up; its release was not read yet. */
    AWAITING_RELEASE,
    /** The attempt holds the key and may be sent until its limit. */
    ENTITLED,
    /** The attempt was sent. */
    RUNNING
  }

  final ClaimEntry.Claimed claim;
  final Instant deadline;
  Phase phase = Phase.CLAIMING;
  Instant limit;
  Optional<ClaimId> asked = Optional.empty();

  ClaimAttempt(ClaimEntry.Claimed claim, Instant deadline) {
    this.claim = claim;
    this.deadline = deadline;
    this.limit = deadline;
  }

  /**
   * Gives or renews the right to send.
   *
   * @param until end of the right, unless the deadline comes first
   */
  void entitle(Instant until) {
    phase = Phase.ENTITLED;
    limit = until.isBefore(deadline) ? until : deadline;
  }

  /**
   * Returns when the attempt needs a tick: a right that can still be renewed after half of its
   * duration, anything else at its limit.
   *
   * @param right duration of a right to send
   */
  Instant dueAt(Duration right) {
    boolean renewable = phase == Phase.ENTITLED && limit.isBefore(deadline);
    return renewable ? limit.minus(right.dividedBy(2)) : limit;
  }
}
