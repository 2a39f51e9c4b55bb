package org.cactusseam.edge.settings;

/**
 * Validation error in a settings file or in a key file that it refers to.
 *
 * @param file name of the file with the error
 * @param line line number, from 1
 * @param column column number, from 1
 * @param key path of the key, for example {@code limits.body-bytes}; empty if the error does not
 *     concern a single key
 * @param message description of the error and of the expected value; never contains key material
 */
public record SettingsFault(String file, int line, int column, String key, String message) {

  @Override
  public String toString() {
    String place = file + ":" + line + ":" + column + ": ";
    return key.isEmpty() ? place + message : place + key + ": " + message;
  }
}
