package org.cactusseam.model;

import java.util.regex.Pattern;

/**
 * Syntax of object names. All name types share it, so that every name can be used in a URL and a
 * log line without escaping.
 */
public final class Names {

  private static final Pattern VALID = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  private Names() {}

  /**
   * Tells whether a text is a valid name.
   *
   * @param value text to check
   * @return true if it has 1 to 63 lower-case letters, digits, dots, underscores or hyphens and
   *     starts with a letter or a digit
   */
  public static boolean isValid(String value) {
    return VALID.matcher(value).matches();
  }

  /**
   * Rejects a text that is not a valid name.
   *
   * @param kind kind of object, used in the exception message
   * @param value text to check
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static void requireValid(String kind, String value) {
    if (!isValid(value)) {
      throw new IllegalArgumentException("invalid " + kind + " name: " + value);
    }
  }
}
