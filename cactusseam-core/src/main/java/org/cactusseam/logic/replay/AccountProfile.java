package org.cactusseam.logic.replay;

/**
 * Workload of a client account in generated traces. Lengths are log-normal.
 *
 * @param name name of the account
 * @param priorityClass class
 * @param share purchased share
 * @param route route
 * @param loadPart part of the generated tokens; 0 for the account that rarely uses its share
 * @param promptTokens median length of prompts
 * @param outputTokens median length of outputs
 * @param spread standard deviation of the logarithm of the output length
 * @param repeatable whether its requests may be repeated
 * @param beginMillis time within which the first token counts as begun in time
 * @param deadlineMillis deadline for the whole answer
 */
public record AccountProfile(
    String name,
    String priorityClass,
    int share,
    String route,
    double loadPart,
    int promptTokens,
    int outputTokens,
    double spread,
    boolean repeatable,
    long beginMillis,
    long deadlineMillis) {

  /**
   * Returns the mean output length.
   *
   * @return tokens
   */
  public double meanOutput() {
    return outputTokens * Math.exp(spread * spread / 2);
  }
}
