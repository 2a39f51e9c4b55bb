package org.cactusseam.standin;

/**
 * Thrown for invalid input in a request or on the command line. A request is answered with HTTP
 * 400, the command line with exit code 2.
 */
public final class InvalidInputException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception for input that was checked here.
   *
   * @param message description of the error, shown to the sender of the input
   */
  public InvalidInputException(String message) {
    super(message);
  }

  /**
   * Creates the exception for input that a parser rejected.
   *
   * @param message description of the error, shown to the sender of the input
   * @param cause error of the parser
   */
  public InvalidInputException(String message, Throwable cause) {
    super(message, cause);
  }
}
