package org.cactusseam.logic.configuration;

/**
 * A result of the check of a configuration.
 *
 * @param kind kind of the result
 * @param entry entry of the configuration, for example {@code route lookup}
 * @param text what was found
 */
public record ConfigurationFinding(Kind kind, String entry, String text) {

  /** Kind of a result. */
  public enum Kind {
    /** Requests fail, or the configuration has no effect. */
    ERROR,
    /** The entry never applies to a request. */
    NEVER_MATCHES,
    /** Limits that cannot hold together, or one that has no effect. */
    CONTRADICTION,
    /** The entry differs from the configuration in force. */
    DIFFERENCE
  }
}
