package org.cactusseam.logic.replay;

/**
 * Workload of one client account in generated traces. Prompt and output lengths follow a log-normal
 * distribution.
 *
 * @param name name of the client account
 * @param priorityClass name of its priority class
 * @param share share of capacity that the account has purchased
 * @param route name of the route that its requests use
 * @param loadFraction fraction of all output tokens that the account requests, from 0 to 1; 0 for
 *     the account that is idle but for one burst
 * @param promptTokens median prompt length, in tokens
 * @param outputTokens median output length, in tokens
 * @param spread standard deviation of the logarithm of the output length
 * @param repeatable whether its requests may run more than once
 * @param beginMillis time from arrival within which the first token must arrive for the request to
 *     count as started on time
 * @param deadlineMillis time from arrival to the deadline of the complete response
 */
public record AccountProfile(
    String name,
    String priorityClass,
    int share,
    String route,
    double loadFraction,
    int promptTokens,
    int outputTokens,
    double spread,
    boolean repeatable,
    long beginMillis,
    long deadlineMillis) {

  /**
   * Returns the mean output length, which for a log-normal distribution exceeds the median.
   *
   * @return mean length, in tokens
   */
  public double meanOutputTokens() {
    return outputTokens * Math.exp(spread * spread / 2);
  }
}
