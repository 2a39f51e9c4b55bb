package org.cactusseam.edge.platform;

/** Failure of an operation of the log service. */
public final class LogException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean ambiguous;

  /**
   * Creates an exception.
   *
   * @param message explanation of the failure
   * @param ambiguous whether the operation may have taken effect
   */
  public LogException(String message, boolean ambiguous) {
    super(message);
    this.ambiguous = ambiguous;
  }

  /**
   * Tells whether the operation may have taken effect.
   *
   * @return false if it certainly did not
   */
  public boolean isAmbiguous() {
    return ambiguous;
  }
}
