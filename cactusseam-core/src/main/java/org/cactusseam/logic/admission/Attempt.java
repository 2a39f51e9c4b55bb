package org.cactusseam.logic.admission;

import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.jspecify.annotations.Nullable;

/** One attempt that waits or runs in a shard. */
final class Attempt {

  final PermitRequest request;
  final AccountLedger ledger;
  final OutputLengths.Source lengths;
  final int rank;
  final int promptTokens;
  final boolean mayWait;
  final long arrivedAt;
  final long deadline;
  final long sequence;
  long askedAt;
  boolean waiting = true;

  /** Last pass over the waiting room in which no server was permitted for this attempt. */
  long passedOverInPass = -1;

  @Nullable ServerState server;
  @Nullable Permit permit;
  long grantedAt;
  boolean confirmed;
  long tokens;
  long progressAt;
  private double expectedTotal;
  double charged;
  double memoryCharged;

  /** Whether the account is within its purchased share, as of the last try to place it. */
  boolean withinShare;

  /** Whether the requester is gone; only load reports can show that the stream ended. */
  boolean orphaned;

  Attempt(
      PermitRequest request,
      AccountLedger ledger,
      OutputLengths.Source lengths,
      int rank,
      boolean mayWait,
      long now,
      long sequence) {
    this.request = request;
    this.ledger = ledger;
    this.lengths = lengths;
    this.rank = rank;
    this.promptTokens = request.promptTokens();
    this.mayWait = mayWait;
    this.arrivedAt = now;
    this.deadline = now + request.timeToDeadlineMillis();
    this.sequence = sequence;
    this.askedAt = now;
    estimate();
  }

  /** Returns the expected output in tokens, as of the last {@link #estimate}. */
  double expectedTotal() {
    return expectedTotal;
  }

  /**
   * Estimates the output again, given what was generated so far. The result is kept, because a
   * forecast reads it for each open attempt of a server.
   */
  void estimate() {
    expectedTotal = lengths.expectedTotal(tokens, request.maximumTokens());
  }
}
