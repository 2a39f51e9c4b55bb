package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a failure domain.
 *
 * @param value 1 to 63 characters as checked by {@link Names}
 */
public record FailureDomainName(@JsonValue String value) implements Comparable<FailureDomainName> {

  /** Checks the name. */
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
