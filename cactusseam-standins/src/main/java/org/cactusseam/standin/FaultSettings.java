package org.cactusseam.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.ToIntFunction;

/**
 * Holds the fault settings that currently apply to a stand-in. They start with the values from the
 * command line and are changed by merging JSON objects, so that a test can set one fault without
 * repeating the others.
 *
 * @param <F> record whose components are the faults
 */
public final class FaultSettings<F extends Record & Faults> {

  /** Value of a counted fault that occurs on every request until it is changed. */
  public static final int ALWAYS = -1;

  private F initial;
  private F current;

  /**
   * Creates the settings.
   *
   * @param initial faults that apply from the start, and again after {@link #reset}
   */
  public FaultSettings(F initial) {
    this.initial = initial;
    current = initial;
  }

  /** Returns the faults that apply now. */
  public F current() {
    return current;
  }

  /**
   * Changes the given faults and leaves the others as they are.
   *
   * @param changes new values by fault name in snake case
   * @throws InvalidInputException if a name is unknown or a value has a wrong type
   */
  public void merge(ObjectNode changes) {
    current = mergeInto(current, changes);
  }

  /**
   * Disables a one-time fault after it has occurred, both in the current values and in the initial
   * ones. Otherwise {@link #reset} would trigger a fault from the command line again.
   *
   * @param name name of the fault in snake case
   * @param disabledValue value that disables the fault
   */
  public void disableOneTimeFault(String name, long disabledValue) {
    ObjectNode change = Json.object().put(name, disabledValue);
    initial = mergeInto(initial, change);
    current = mergeInto(current, change);
  }

  /** Restores the initial values. */
  public void reset() {
    current = initial;
  }

  /**
   * Decrements the remaining occurrences of a counted fault, unless it is {@link #ALWAYS}.
   *
   * @param name name of the fault in snake case
   * @param count reads the remaining occurrences from the fault record
   * @return true if the fault occurs for the current request
   */
  public boolean consumeOccurrence(String name, ToIntFunction<F> count) {
    int remaining = count.applyAsInt(current);
    if (remaining > 0) {
      merge(Json.object().put(name, remaining - 1));
    }
    return remaining > 0 || remaining == ALWAYS;
  }

  private F mergeInto(F base, ObjectNode changes) {
    ObjectNode tree = Json.toTree(base);
    tree.setAll(changes);
    return Json.toValue(tree, recordType());
  }

  @SuppressWarnings("unchecked") // a record is final, so getClass() is exactly Class<F>
  private Class<F> recordType() {
    return (Class<F>) initial.getClass();
  }
}
