package org.cactusseam.standin;

/** Input of a request or of the command line that cannot be understood. Answered with HTTP 400. */
public final class InvalidInputException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what is wrong
   */
  public InvalidInputException(String message) {
    super(message);
  }

  /**
   * Creates the exception.
   *
   * @param message what is wrong
   * @param cause error of the parser
   */
  public InvalidInputException(String message, Throwable cause) {
    super(message, cause);
  }
}
