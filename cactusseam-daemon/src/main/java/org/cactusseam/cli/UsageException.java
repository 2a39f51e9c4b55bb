package org.cactusseam.cli;

/** Thrown if the arguments are well formed but invalid. The message is shown to the user. */
final class UsageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message human-readable description of the error
   */
  UsageException(String message) {
    super(message);
  }
}
