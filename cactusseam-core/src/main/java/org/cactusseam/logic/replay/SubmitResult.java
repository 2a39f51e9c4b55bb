package org.cactusseam.logic.replay;

/** Result of submitting a request to a simulated engine. */
public enum SubmitResult {
  /** The request was accepted and is waiting or running. */
  ACCEPTED,
  /** The engine is restarting; the request did not run. */
  DOWN,
  /** The prompt exceeds the memory of the engine; the request did not run. */
  TOO_LARGE,
  /** A request with the same identity is already active. */
  DUPLICATE,
  /** The request exceeded the limit of the cold phase, and the engine crashed. */
  CRASHED
}
