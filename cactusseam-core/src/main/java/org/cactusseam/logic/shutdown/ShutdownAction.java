package org.cactusseam.logic.shutdown;

/** What the daemon has to do for a {@link ShutdownCoordinator}. */
public sealed interface ShutdownAction {

  /** Announce in pings that the node leaves, and let the readiness check fail. */
  record FailReadiness() implements ShutdownAction {}

  /**
   * Hand over the owned shards with the message {@code Handover}.
   *
   * @param appendLeave whether to append {@code Leave} as well; false while the log is unavailable
   */
  record HandOver(boolean appendLeave) implements ShutdownAction {}

  /** Refuse new requests from now on as "not run, another VM". */
  record RefuseNew() implements ShutdownAction {}

  /** Refuse the requests that were not sent to a backend server as "not run, another VM". */
  record RefuseWaiting() implements ShutdownAction {}

  /** Send each open stream the event that asks the caller to resume elsewhere, and end it. */
  record AskToResume() implements ShutdownAction {}

  /** Answer the requests that cannot be resumed with "may have run". */
  record AnswerUncertain() implements ShutdownAction {}

  /** End the process. */
  record Exit() implements ShutdownAction {}
}
