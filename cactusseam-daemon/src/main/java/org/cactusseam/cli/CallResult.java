package org.cactusseam.cli;

import java.time.Duration;
import java.util.Optional;

/**
 * How a call ended.
 *
 * @param ending kind of end
 * @param code number of the result code if the daemon refused, otherwise 0
 * @param message text for people
 * @param generation identity of the generation
 * @param tokens tokens received
 * @param resumes how often the call moved to another daemon
 * @param firstToken time from the start of the call to the first token
 */
record CallResult(
    Ending ending,
    int code,
    String message,
    Optional<String> generation,
    long tokens,
    int resumes,
    Optional<Duration> firstToken) {

  /** Kinds of ends, from good to bad. */
  enum Ending {
    /** Every token arrived once and in order. */
    COMPLETE(ExitCode.OK),
    /** A daemon refused. */
    REFUSED(ExitCode.REFUSED),
    /** No daemon could be reached, and nothing was sent. */
    UNREACHABLE(ExitCode.UNREACHABLE),
    /** The answer ended early or had faults in its order. */
    INCOMPLETE(ExitCode.INCOMPLETE);

    private final ExitCode exitCode;

    Ending(ExitCode exitCode) {
      this.exitCode = exitCode;
    }

    ExitCode exitCode() {
      return exitCode;
    }
  }
}
