package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a priority class.
 *
 * @param value 1 to 63 characters with the syntax that {@link Names} defines
 */
public record PriorityClassName(@JsonValue String value) implements Comparable<PriorityClassName> {

  /** Rejects a text that is not a valid name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public PriorityClassName {
    Names.requireValid("priority class", value);
  }

  @Override
  public int compareTo(PriorityClassName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
