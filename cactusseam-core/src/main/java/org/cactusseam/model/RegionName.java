package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a region, which holds failure domains.
 *
 * @param value 1 to 63 characters with the syntax that {@link Names} defines
 */
public record RegionName(@JsonValue String value) implements Comparable<RegionName> {

  /** Rejects a text that is not a valid name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RegionName {
    Names.requireValid("region", value);
  }

  @Override
  public int compareTo(RegionName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
