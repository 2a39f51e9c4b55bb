package org.cactusseam.logic.stream;

/**
 * Decides for each token event of a generation whether it is delivered. A resumed engine may repeat
 * tokens and a connection may lose some; the caller must get each index once and in order.
 */
public final class TokenSequencer {

  /** What to do with a token event. */
  public enum Action {
    /** Deliver it. */
    DELIVER,
    /** Drop it: the caller has it already. */
    DROP,
    /** Drop it and resume the stream from {@link #nextIndex()}: tokens before it are missing. */
    RESUME
  }

  private long nextIndex;

  /**
   * Starts a sequence.
   *
   * @param nextIndex index of the first token that the caller does not have
   */
  public TokenSequencer(long nextIndex) {
    this.nextIndex = nextIndex;
  }

  /**
   * Takes note of a token event.
   *
   * @param index index of the token
   * @return what to do with it
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
   * Returns the index of the next token to deliver, which is the number of tokens that the caller
   * has.
   *
   * @return index
   */
  public long nextIndex() {
    return nextIndex;
  }
}
