package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a failure domain; unique over all regions.
 *
 * @param value 1 to 63 characters with the syntax that {@link Names} defines
 */
public record FailureDomainName(@JsonValue String value) implements Comparable<FailureDomainName> {

  /** Rejects a text that is not a valid name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public FailureDomainName {
    Names.requireValid("failure domain", value);
  }

  @Override
  public int compareTo(FailureDomainName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
