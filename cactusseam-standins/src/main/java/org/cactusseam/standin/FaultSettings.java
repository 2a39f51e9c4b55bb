package org.cactusseam.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.ToIntFunction;

/**
 * The faults in force. They start with the values of the command line and are changed by merging
 * JSON objects, so a test sets one fault without stating the others.
 *
 * @param <F> record of faults
 */
public final class FaultSettings<F extends Record & Faults> {

  /** Value of a counted fault that never ends. */
  public static final int ALWAYS = -1;

  private F initial;
  private F current;

  /**
   * Creates the settings.
   *
   * @param initial faults in force from the start
   */
  public FaultSettings(F initial) {
    this.initial = initial;
    current = initial;
  }

  /**
   * Returns the faults in force.
   *
   * @return the record
   */
  public F current() {
    return current;
  }

  /**
   * Changes the named faults only.
   *
   * @param changes values by name in snake case
   * @throws InvalidInputException if a name is unknown or a value has a wrong type
   */
  public void merge(ObjectNode changes) {
    current = merged(current, changes);
  }

  /**
   * Marks a fault that occurs at one time as done, also for a later {@link #reset}, which would
   * otherwise repeat a fault of the command line.
   *
   * @param name name in snake case
   * @param off value that means that the fault does not occur
   */
  public void markDone(String name, long off) {
    ObjectNode change = Json.object().put(name, off);
    initial = merged(initial, change);
    current = merged(current, change);
  }

  /** Returns to the values of the start. */
  public void reset() {
    current = initial;
  }

  /**
   * Uses up one occurrence of a counted fault.
   *
   * @param name name in snake case
   * @param count reads the remaining occurrences
   * @return whether the fault occurs now
   */
  public boolean consume(String name, ToIntFunction<F> count) {
    int remaining = count.applyAsInt(current);
    if (remaining > 0) {
      merge(Json.object().put(name, remaining - 1));
    }
    return remaining > 0 || remaining == ALWAYS;
  }

  private F merged(F base, ObjectNode changes) {
    ObjectNode tree = Json.toTree(base);
    tree.setAll(changes);
    return Json.toValue(tree, recordType());
  }

  @SuppressWarnings("unchecked") // getClass of a record, which has no subclasses
  private Class<F> recordType() {
    return (Class<F>) initial.getClass();
  }
}
