package org.cactusseam.model;

/**
 * A priority level for the requests of client accounts.
 *
 * @param name name of the class
 * @param rank scheduling rank, 0 to 9; 0 is served first
 * @param mayWait whether its requests yield to interactive streams
 */
public record PriorityClass(PriorityClassName name, int rank, boolean mayWait)
    implements ConfigurationObject {

  /** Rejects a rank outside of 0 to 9. */
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
