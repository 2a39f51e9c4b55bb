package org.cactusseam.edge.settings;

/**
 * One fault of a settings file or of a file that it names.
 *
 * @param file file that has the fault
 * @param line line, from 1
 * @param column column, from 1
 * @param key path of the key, for example {@code limits.body-bytes}; empty if the fault is not
 *     about one key
 * @param message what is wrong and what was expected, without the content of key files
 */
public record SettingsFault(String file, int line, int column, String key, String message) {

  @Override
  public String toString() {
    String place = file + ":" + line + ":" + column + ": ";
    return key.isEmpty() ? place + message : place + key + ": " + message;
  }
}
