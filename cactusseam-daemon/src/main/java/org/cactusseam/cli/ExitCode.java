package org.cactusseam.cli;

import org.cactusseam.model.ResultCode;

/** Exit codes of the command line, listed in {@code docs/operators.md}. */
public enum ExitCode {
  /** All was done. */
  OK(0),
  /** The command line met a fault of its own. */
  INTERNAL(1),
  /** The arguments, or a command in them, are wrong; nothing was sent. */
  WRONG_USAGE(2),
  /** The settings have faults. */
  FAULTY_SETTINGS(3),
  /** The daemon refused. */
  REFUSED(4),
  /** The command is recorded or may be recorded, but not known to be in force. */
  WAITING(5),
  /** No daemon answered. */
  UNREACHABLE(6),
  /** An answer ended early or had faults in its order. */
  INCOMPLETE(7);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /**
   * Returns the number that the process exits with.
   *
   * @return number, unique
   */
  public int number() {
    return number;
  }

  /**
   * Returns the exit code for the result of an operator's command.
   *
   * @param resultCode number of a {@link ResultCode}, possibly of a newer daemon
   * @return exit code
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
