package org.cactusseam.model.message;

import org.cactusseam.model.ShardId;

/**
 * What the owner of one shard knows about a roll-out of its pool.
 *
 * @param shard shard of the sender
 * @param order log offset of the operator's command
 * @param verdict result of the test of the new version
 * @param reason evidence for the verdict, for operators
 * @param replaced responses of the replaced versions
 * @param latest responses of the new version
 */
public record ShardRolloutReport(
    ShardId shard,
    long order,
    Verdict verdict,
    String reason,
    ResponseTotals replaced,
    ResponseTotals latest) {

  /** Result of the test of the new version. */
  public enum Verdict {
    /** The new version is no worse than the replaced ones. */
    GOOD,
    /** The new version is worse. */
    BAD,
    /** There is too little evidence. */
    UNDECIDED
  }

  /**
   * Numbers of responses since the owner read the command or took the shard over.
   *
   * @param responses responses, including failures
   * @param failures failures
   * @param slow slow responses, by the times of the replaced versions
   */
  public record ResponseTotals(long responses, long failures, long slow) {

    /** No responses. */
    public static final ResponseTotals NONE = new ResponseTotals(0, 0, 0);

    /**
     * Returns the sum of two totals.
     *
     * @param other totals to add
     * @return sum
     */
    public ResponseTotals plus(ResponseTotals other) {
      return new ResponseTotals(
          responses + other.responses, failures + other.failures, slow + other.slow);
    }
  }
}
