package org.cactusseam.logic.admission;

/** What a shard knows of one client account: its share, its use and the tokens charged to it. */
final class AccountLedger {

  private static final double WEIGHT_WITHOUT_SHARE = 1;

  /** Rank of the account's class. */
  int rank;

  private int share;
  private double sharePart;
  private double virtualTokens;
  private int open;
  private double memory;
  private double held;

  /**
   * Sets the purchased share.
   *
   * @param newRank rank of the account's class
   * @param newShare purchased share
   * @param total sum of all shares
   */
  void purchase(int newRank, int newShare, long total) {
    rank = newRank;
    share = newShare;
    sharePart = total == 0 ? 0 : (double) newShare / total;
  }

  /** Returns tokens charged, divided by the share; the account with the least is served first. */
  double virtualTokens() {
    return virtualTokens;
  }

  /** Lets an account that was idle start at the level of the busy ones, without saved credit. */
  void resumeAt(double level) {
    if (open == 0) {
      virtualTokens = Math.max(virtualTokens, level);
    }
  }

  void charge(double tokens) {
    virtualTokens += tokens / (share > 0 ? share : WEIGHT_WITHOUT_SHARE);
  }

  /** Notes that engine memory held now grew, or shrank if negative. */
  void holds(double tokens) {
    held += tokens;
  }

  void opened(double memoryTokens) {
    open++;
    memory += memoryTokens;
  }

  void closed(double memoryTokens) {
    open--;
    memory -= memoryTokens;
  }

  /** Returns the part of a shard's capacity that the account bought and does not use. */
  double unusedPart(double slots, double memoryTokens) {
    double used = Math.max(part(open, slots), part(memory, memoryTokens));
    return Math.max(0, sharePart - used);
  }

  /**
   * Tells whether what the account holds now is less than its share. Expected lengths do not count
   * here: those of an account that was idle for long are guessed from others.
   */
  boolean holdsLessThanShare(double slots, double memoryTokens) {
    return Math.max(part(open, slots), part(held, memoryTokens)) < sharePart;
  }

  private static double part(double value, double whole) {
    return whole <= 0 ? 0 : value / whole;
  }
}
