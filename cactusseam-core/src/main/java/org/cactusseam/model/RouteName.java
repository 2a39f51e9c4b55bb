package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a route.
 *
 * @param value 1 to 63 characters as checked by {@link Names}
 */
public record RouteName(@JsonValue String value) implements Comparable<RouteName> {

  /** Checks the name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RouteName {
    Names.requireValid("route", value);
  }

  @Override
  public int compareTo(RouteName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
