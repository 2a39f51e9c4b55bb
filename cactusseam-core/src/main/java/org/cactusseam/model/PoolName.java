package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a pool of backend servers.
 *
 * @param value 1 to 63 characters with the syntax that {@link Names} defines
 */
public record PoolName(@JsonValue String value) implements Comparable<PoolName> {

  /** Rejects a text that is not a valid name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public PoolName {
    Names.requireValid("pool", value);
  }

  @Override
  public int compareTo(PoolName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
