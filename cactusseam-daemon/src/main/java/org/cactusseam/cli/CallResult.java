package org.cactusseam.cli;

import java.time.Duration;
import java.util.Optional;

/**
 * Outcome of a call.
 *
 * @param ending kind of outcome
 * @param code number of the result code if the daemon returned an error, otherwise 0
 * @param message human-readable error message; empty on success
 * @param generation identity of the generation; empty before the first token
 * @param tokens number of tokens received
 * @param resumes number of failovers to another daemon
 * @param firstToken time from the start of the call to the first token; empty without a token
 */
record CallResult(
    Ending ending,
    int code,
    String message,
    Optional<String> generation,
    long tokens,
    int resumes,
    Optional<Duration> firstToken) {

  /** Kinds of outcome, from best to worst; the worst of a run determines the exit code. */
  enum Ending {
    /** The response was complete: every token arrived once and in order. */
    COMPLETE(ExitCode.OK),
    /** A daemon refused the request. */
    REFUSED(ExitCode.REFUSED),
    /** No daemon could be reached, and the request was not sent. */
    UNREACHABLE(ExitCode.UNREACHABLE),
    /**
     * The response was truncated, ended with an error, or had missing, duplicate or reordered
     * tokens.
     */
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
