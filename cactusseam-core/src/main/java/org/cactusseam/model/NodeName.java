package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a entry daemon.
 *
 * @param value 1 to 63 characters as checked by {@link Names}
 */
public record NodeName(@JsonValue String value) implements Comparable<NodeName> {

  /** Checks the name. */
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
