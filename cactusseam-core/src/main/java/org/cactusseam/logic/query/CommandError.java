package org.cactusseam.logic.query;

import java.util.List;

/**
 * Why a text is not a command.
 *
 * @param line line of the fault, from 1
 * @param column column of the fault, from 1
 * @param expected what could stand there, for people
 * @param found what stands there instead, for people
 */
public record CommandError(int line, int column, List<String> expected, String found) {

  /** Copies the list. */
  public CommandError {
    expected = List.copyOf(expected);
  }

  /**
   * Returns a text for people.
   *
   * @return one line
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
