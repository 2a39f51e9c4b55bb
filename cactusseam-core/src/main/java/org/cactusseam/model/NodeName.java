package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an entry daemon, which is kept over restarts.
 *
 * @param value 1 to 63 characters with the syntax that {@link Names} defines
 */
public record NodeName(@JsonValue String value) implements Comparable<NodeName> {

  /** Rejects a text that is not a valid name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public NodeName {
    Names.requireValid("node", value);
  }

  @Override
  public int compareTo(NodeName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
