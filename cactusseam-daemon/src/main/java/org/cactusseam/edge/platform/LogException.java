package org.cactusseam.edge.platform;

/** The log service did not do what was asked. */
public final class LogException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean ambiguous;

  /**
   * Creates an exception.
   *
   * @param message what happened
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
