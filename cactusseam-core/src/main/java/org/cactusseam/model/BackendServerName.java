package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a backend server.
 *
 * @param value 1 to 63 characters with the syntax that {@link Names} defines
 */
public record BackendServerName(@JsonValue String value) implements Comparable<BackendServerName> {

  /** Rejects a text that is not a valid name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public BackendServerName {
    Names.requireValid("backend server", value);
  }

  @Override
  public int compareTo(BackendServerName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
