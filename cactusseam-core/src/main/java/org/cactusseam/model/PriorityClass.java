package org.cactusseam.model;

/**
 * A level of priority that client accounts buy.
 *
 * @param name name
 * @param rank 0 is served first
 * @param mayWait whether requests give way to streams that people watch
 */
public record PriorityClass(PriorityClassName name, int rank, boolean mayWait)
    implements ConfigurationObject {

  /** Checks the rank. */
  public PriorityClass {
    if (rank < 0 || rank > 9) {
      throw new IllegalArgumentException("rank must be 0 to 9: " + rank);
    }
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.PRIORITY_CLASS, name.value());
  }
}
