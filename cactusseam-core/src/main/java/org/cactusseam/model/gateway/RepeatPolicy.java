package org.cactusseam.model.gateway;

/**
 * Whether the requests of a route may run again, and whether they are answered by a stream of
 * events.
 */
public enum RepeatPolicy {
  /** The request may run more than once; the response is delivered as a whole. */
  REPEATABLE(true, false),
  /**
   * The request may run at most once per attempt of a caller; the response is delivered as a whole.
   */
  AT_MOST_ONCE(false, false),
  /** The response is a stream of events from a single run. */
  STREAM_OF_ONE_RUN(false, true),
  /**
   * The response is a stream of events that another run may continue after the last delivered
   * event.
   */
  RESUMABLE_STREAM(true, true);

  private final boolean repeatable;
  private final boolean stream;

  RepeatPolicy(boolean repeatable, boolean stream) {
    this.repeatable = repeatable;
    this.stream = stream;
  }

  /**
   * Returns whether the request may run again after a failure.
   *
   * @return whether a further run is allowed
   */
  public boolean isRepeatable() {
    return repeatable;
  }

  /**
   * Returns whether the response is a stream of events.
   *
   * @return whether events are delivered to the caller as they arrive
   */
  public boolean isStream() {
    return stream;
  }
}
