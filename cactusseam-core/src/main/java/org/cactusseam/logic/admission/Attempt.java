package org.cactusseam.logic.admission;

import java.time.Duration;
import org.cactusseam.logic.rollout.ShardRollout;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.jspecify.annotations.Nullable;

/**
 * State of one attempt that waits for admission or runs on a backend server. Times are in
 * milliseconds of the shard's clock.
 */
final class Attempt {

  final PermitRequest request;
  final AccountLedger ledger;
  final OutputLengths.Histograms lengthHistograms;
  final int rank;
  final int promptTokens;
  final boolean mayWait;
  final long arrivedAt;
  final long deadline;
  final long sequence;
  long lastRequestedAt;
  boolean waiting = true;

  /**
   * Last admission pass that skipped this attempt because none of the servers with capacity was
   * allowed for it.
   */
  long skippedInPass = -1;

  @Nullable ServerState server;
  @Nullable Permit permit;
  long grantedAt;
  boolean confirmed;
  long tokens;
  long progressAt;
  private double expectedTotal;
  double chargedTokens;
  double chargedMemory;

  /** Whether the account was within its purchased share when this attempt was last considered. */
  boolean withinShare;

  /**
   * Whether the requester is lost or the server did not answer in time. The attempt then counts
   * until load reports show that its stream has ended.
   */
  boolean abandoned;

  Attempt(
      PermitRequest request,
      AccountLedger ledger,
      OutputLengths.Histograms lengthHistograms,
      int rank,
      boolean mayWait,
      long now,
      long sequence) {
    this.request = request;
    this.ledger = ledger;
    this.lengthHistograms = lengthHistograms;
    this.rank = rank;
    this.promptTokens = request.promptTokens();
    this.mayWait = mayWait;
    this.arrivedAt = now;
    this.deadline = now + request.timeToDeadlineMillis();
    this.sequence = sequence;
    this.lastRequestedAt = now;
    estimate();
  }

  /** Returns the expected total output in tokens, as of the last {@link #estimate}. */
  double expectedTotal() {
    return expectedTotal;
  }

  /**
   * Updates the expected output from the tokens generated so far. The result is cached, because a
   * memory forecast reads it for each open attempt of a server.
   */
  void estimate() {
    expectedTotal = lengthHistograms.expectedTotal(tokens, request.maximumTokens());
  }

  /** Starts this attempt on a server and charges its account for the expected tokens and memory. */
  void start(ServerState onServer, Permit granted, long now) {
    server = onServer;
    permit = granted;
    grantedAt = now;
    progressAt = now;
    estimate();
    chargedTokens = expectedTotal();
    ledger.charge(chargedTokens);
    ledger.addAttempt(promptTokens + chargedTokens);
    ledger.addHeldMemory(promptTokens);
    chargedMemory = promptTokens + chargedTokens;
  }

  /** Reports a running attempt that has no response yet to the roll-out of its pool. */
  void reportUnanswered(ShardRollout rollout, long now) {
    ServerState onServer = server;
    if (onServer != null && tokens == 0) {
      rollout.recordUnanswered(
          request.id(),
          onServer.description().name(),
          request.route().value(),
          Duration.ofMillis(now - grantedAt));
    }
  }

  /** Corrects the charges of the account when this attempt has ended. */
  void settle() {
    ledger.charge(tokens - chargedTokens);
    ledger.removeAttempt(chargedMemory);
    ledger.addHeldMemory(-promptTokens - tokens);
  }
}
