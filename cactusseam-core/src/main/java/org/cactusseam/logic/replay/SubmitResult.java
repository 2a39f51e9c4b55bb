package org.cactusseam.logic.replay;

/** Answer of a simulated engine to a submitted request. */
public enum SubmitResult {
  /** The request waits or runs. */
  ACCEPTED,
  /** The engine is restarting; the request did not run. */
  DOWN,
  /** The prompt does not fit into the memory of the engine; the request did not run. */
  TOO_LARGE,
  /** A request of this identity is active. */
  DUPLICATE,
  /** The request exceeded the limit of a cold engine, which crashed. */
  CRASHED
}
