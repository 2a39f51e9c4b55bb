package org.cactusseam.logic.admission;

/**
 * Accounting of one client account in a shard: its purchased share, its current use of slots and
 * engine memory, and the tokens charged to it for fair queueing.
 */
final class AccountLedger {

  private static final double WEIGHT_WITHOUT_SHARE = 1;

  /** Rank of the account's priority class; 0 is the highest. */
  int rank;

  private int share;
  private double shareFraction;
  private double virtualTokens;
  private int open;
  private double memory;
  private double held;

  /**
   * Sets the rank and the purchased share, from a new configuration.
   *
   * @param newRank rank of the account's priority class
   * @param newShare purchased share; 0 if the account bought none
   * @param total sum of the shares of all accounts
   */
  void setShare(int newRank, int newShare, long total) {
    rank = newRank;
    share = newShare;
    shareFraction = total == 0 ? 0 : (double) newShare / total;
  }

  /**
   * Returns the tokens charged so far divided by the purchased share. Within a priority class the
   * account with the lowest value is served first.
   */
  double virtualTokens() {
    return virtualTokens;
  }

  /**
   * Raises the virtual tokens of an idle account to those of the active accounts, so that it cannot
   * use up credit from the time in which it sent nothing.
   */
  void resumeAt(double level) {
    if (open == 0) {
      virtualTokens = Math.max(virtualTokens, level);
    }
  }

  /** Charges tokens to the account; a negative value refunds an earlier charge. */
  void charge(double tokens) {
    virtualTokens += tokens / (share > 0 ? share : WEIGHT_WITHOUT_SHARE);
  }

  /**
   * Adds to the engine memory that the account holds now, in tokens; a negative value releases
   * memory.
   */
  void addHeldMemory(double tokens) {
    held += tokens;
  }

  /** Counts an attempt that was granted, with its expected memory in tokens. */
  void addAttempt(double memoryTokens) {
    open++;
    memory += memoryTokens;
  }

  /** Counts the end of an attempt, with the memory that was passed to {@link #addAttempt}. */
  void removeAttempt(double memoryTokens) {
    open--;
    memory -= memoryTokens;
  }

  /**
   * Returns the fraction of the shard's capacity that the account bought and does not use, from 0
   * to 1.
   */
  double unusedShare(double slots, double memoryTokens) {
    double used = Math.max(fraction(open, slots), fraction(memory, memoryTokens));
    return Math.max(0, shareFraction - used);
  }

  /**
   * Returns whether the slots and the memory that the account holds now are below its purchased
   * share. Expected output lengths are ignored here, because those of an account that was idle for
   * long are estimated from other accounts.
   */
  boolean isBelowShare(double slots, double memoryTokens) {
    return Math.max(fraction(open, slots), fraction(held, memoryTokens)) < shareFraction;
  }

  private static double fraction(double value, double whole) {
    return whole <= 0 ? 0 : value / whole;
  }
}
