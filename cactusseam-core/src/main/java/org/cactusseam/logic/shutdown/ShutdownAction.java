package org.cactusseam.logic.shutdown;

/** An action that a {@link ShutdownCoordinator} requests from the daemon. */
public sealed interface ShutdownAction {

  /** Announce in pings that the daemon is leaving, and make its readiness check fail. */
  record FailReadiness() implements ShutdownAction {}

  /**
   * Hand over the owned shards with a {@code Handover} message.
   *
   * @param appendLeave whether to append a {@code Leave} record as well; false while the log is
   *     unavailable
   */
  record HandOver(boolean appendLeave) implements ShutdownAction {}

  /** Refuse new requests from now on as "not run, another VM". */
  record RefuseNew() implements ShutdownAction {}

  /** Refuse the requests that were not sent to a backend server as "not run, another VM". */
  record RefuseWaiting() implements ShutdownAction {}

  /**
   * Send the event that asks the caller to resume at another daemon on each open stream, and close
   * the stream.
   */
  record AskToResume() implements ShutdownAction {}

  /** End the requests that cannot be resumed with the result "may have run". */
  record AnswerUncertain() implements ShutdownAction {}

  /** Exit the process. */
  record Exit() implements ShutdownAction {}
}
