package org.cactusseam.cli;

import org.cactusseam.model.ResultCode;

/**
 * Exit codes of the command-line interface. A test keeps them in sync with {@code
 * docs/operators.md}.
 */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** An internal error occurred. */
  INTERNAL(1),
  /** The arguments, or a command in them, are invalid; nothing was sent. */
  WRONG_USAGE(2),
  /** The settings are invalid. */
  FAULTY_SETTINGS(3),
  /** The daemon refused the request. */
  REFUSED(4),
  /** The command is or may be recorded, but is not known to be in force yet. */
  WAITING(5),
  /** No daemon responded. */
  UNREACHABLE(6),
  /** A response was truncated or out of order, or the requested log lines were not found. */
  INCOMPLETE(7);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /**
   * Returns the exit status of the process.
   *
   * @return exit status, unique among the codes
   */
  public int number() {
    return number;
  }

  /**
   * Returns the exit code for the result of an operator command.
   *
   * @param resultCode number of a {@link ResultCode}; a newer daemon may send unknown ones
   * @return exit code of the process
   */
  static ExitCode ofResult(int resultCode) {
    if (isAny(resultCode, ResultCode.OK, ResultCode.ACCEPTED, ResultCode.UNCHANGED)) {
      return OK;
    }
    if (isAny(
        resultCode,
        ResultCode.RECORDED_WAITING,
        ResultCode.IN_FORCE_NOT_RECORDED,
        ResultCode.COMMAND_UNCERTAIN)) {
      return WAITING;
    }
    return resultCode == ResultCode.INTERNAL_ERROR.number() ? INTERNAL : REFUSED;
  }

  private static boolean isAny(int number, ResultCode... codes) {
    for (ResultCode code : codes) {
      if (code.number() == number) {
        return true;
      }
    }
    return false;
  }
}
