package org.cactusseam.logic.query;

import java.util.List;

/**
 * Syntax error in a command.
 *
 * @param line line of the error, counted from 1
 * @param column column of the error, counted from 1
 * @param expected descriptions of the input that would be valid at this position
 * @param found description of the input at this position
 */
public record CommandError(int line, int column, List<String> expected, String found) {

  /** Creates an error with an immutable copy of the descriptions. */
  public CommandError {
    expected = List.copyOf(expected);
  }

  /**
   * Returns an error message for the operator.
   *
   * @return message in one line
   */
  public String message() {
    return "line "
        + line
        + ", column "
        + column
        + ": expected "
        + String.join(" or ", expected)
        + ", found "
        + found;
  }
}
