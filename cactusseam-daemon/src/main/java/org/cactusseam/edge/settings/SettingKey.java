package org.cactusseam.edge.settings;

import java.util.Optional;

/**
 * Declaration of one key of the settings file.
 *
 * @param path path of the key, with its parts joined by dots
 * @param type syntax and range of valid values
 * @param presence whether the key can be omitted
 * @param defaultText default value in the syntax of the file; empty unless the key has a default
 * @param <T> Java type of the values
 */
record SettingKey<T>(
    String path, ValueType<T> type, Presence presence, Optional<String> defaultText) {

  /** Whether a key can be omitted. */
  enum Presence {
    /** The daemon does not start without the key. */
    REQUIRED,
    /** The key has a default value. */
    DEFAULTED,
    /** Omitting the key disables a feature. */
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
