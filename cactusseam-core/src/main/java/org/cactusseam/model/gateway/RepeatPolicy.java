package org.cactusseam.model.gateway;

/** What may be repeated of the requests of a route, and in which form they are answered. */
public enum RepeatPolicy {
  /** The request may run more than once; the answer is delivered whole. */
  REPEATABLE(true, false),
  /** The request may run once for each attempt of a caller. */
  AT_MOST_ONCE(false, false),
  /** The answer is a stream of events of a single run. */
  STREAM_OF_ONE_RUN(false, true),
  /** The answer is a stream that another run may continue after the last event. */
  RESUMABLE_STREAM(true, true);

  private final boolean repeatable;
  private final boolean stream;

  RepeatPolicy(boolean repeatable, boolean stream) {
    this.repeatable = repeatable;
    this.stream = stream;
  }

  /**
   * Returns whether a second run is allowed.
   *
   * @return whether the request may run again
   */
  public boolean isRepeatable() {
    return repeatable;
  }

  /**
   * Returns whether the answer is a stream of events.
   *
   * @return whether events are delivered as they arrive
   */
  public boolean isStream() {
    return stream;
  }
}
