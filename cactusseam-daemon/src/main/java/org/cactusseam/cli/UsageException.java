package org.cactusseam.cli;

/** The arguments are well formed but do not make sense. */
final class UsageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what is wrong, for people
   */
  UsageException(String message) {
    super(message);
  }
}
