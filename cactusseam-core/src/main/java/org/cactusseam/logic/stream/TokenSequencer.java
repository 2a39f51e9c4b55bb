package org.cactusseam.logic.stream;

/**
 * Decides whether a token event of a generation is delivered to the caller. A resumed stream may
 * repeat tokens and a connection may lose some, but the caller must receive each index exactly once
 * and in order.
 */
public final class TokenSequencer {

  /** Decision on a token event. */
  public enum Action {
    /** Deliver the token to the caller. */
    DELIVER,
    /** Drop the token, because the caller already has it. */
    DROP,
    /**
     * Drop the token and resume the stream from {@link #nextIndex()}, because earlier tokens are
     * missing.
     */
    RESUME
  }

  private long nextIndex;

  /**
   * Creates a sequencer for a new or resumed stream.
   *
   * @param nextIndex index of the first token that the caller does not have
   */
  public TokenSequencer(long nextIndex) {
    this.nextIndex = nextIndex;
  }

  /**
   * Decides on a token event and advances the sequence if the token is to be delivered.
   *
   * @param index index of the token within the generation
   * @return decision on the token
   */
  public Action accept(long index) {
    if (index < nextIndex) {
      return Action.DROP;
    }
    if (index > nextIndex) {
      return Action.RESUME;
    }
    nextIndex++;
    return Action.DELIVER;
  }

  /**
   * Returns the index of the next token to deliver, which equals the number of tokens that the
   * caller has received.
   *
   * @return index of the next token
   */
  public long nextIndex() {
    return nextIndex;
  }
}
