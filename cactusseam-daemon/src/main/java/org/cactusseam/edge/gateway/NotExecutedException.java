package org.cactusseam.edge.gateway;

/**
 * The store has not executed a call and never will. After any other failure of a call, such as a
 * lost response, the store may have executed it or may do so later.
 */
public final class NotExecutedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message what the store answered, or why it could not be reached
   */
  public NotExecutedException(String message) {
    super(message);
  }
}
