package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a client account.
 *
 * @param value 1 to 63 characters with the syntax that {@link Names} defines
 */
public record AccountName(@JsonValue String value) implements Comparable<AccountName> {

  /** Rejects a text that is not a valid name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public AccountName {
    Names.requireValid("account", value);
  }

  @Override
  public int compareTo(AccountName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
