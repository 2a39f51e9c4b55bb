package org.cactusseam.logic.retry;

import org.cactusseam.model.ResultCode;

/** What follows a failed attempt. */
public sealed interface NextStep {

  /** Make another attempt at another backend server. */
  record Retry() implements NextStep {}

  /**
   * Resume the same stream at the same backend server, from the first token that the caller does
   * not have. If that fails too, report the same failure point again.
   */
  record Resume() implements NextStep {}

  /**
   * Answer the caller.
   *
   * @param code result code, which states truly whether the request ran
   */
  record Give(ResultCode code) implements NextStep {}
}
