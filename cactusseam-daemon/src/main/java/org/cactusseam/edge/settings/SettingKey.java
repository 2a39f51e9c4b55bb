package org.cactusseam.edge.settings;

import java.util.Optional;

/**
 * A key of the settings file.
 *
 * @param path path of the key, parts joined by dots
 * @param type syntax and range of its values
 * @param presence whether it can be left out
 * @param defaultText value if it is left out, in the syntax of the file
 * @param <T> type of the values
 */
record SettingKey<T>(
    String path, ValueType<T> type, Presence presence, Optional<String> defaultText) {

  /** Whether a key can be left out. */
  enum Presence {
    /** The daemon does not start without it. */
    REQUIRED,
    /** It has a default. */
    DEFAULTED,
    /** Leaving it out turns a feature off. */
    OPTIONAL
  }

  static <T> SettingKey<T> required(String path, ValueType<T> type) {
    return new SettingKey<>(path, type, Presence.REQUIRED, Optional.empty());
  }

  static <T> SettingKey<T> optional(String path, ValueType<T> type) {
    return new SettingKey<>(path, type, Presence.OPTIONAL, Optional.empty());
  }

  static <T> SettingKey<T> withDefault(String path, ValueType<T> type, String defaultText) {
    return new SettingKey<>(path, type, Presence.DEFAULTED, Optional.of(defaultText));
  }
}
