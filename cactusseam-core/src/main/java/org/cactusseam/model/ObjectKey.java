package org.cactusseam.model;

/**
 * Identity of a configuration object.
 *
 * @param kind kind of the object
 * @param name name of the object, unique within the kind
 */
public record ObjectKey(ObjectKind kind, String name) implements Comparable<ObjectKey> {

  /** Rejects a text that is not a valid name. */
  public ObjectKey {
    Names.requireValid(kind.name(), name);
  }

  @Override
  public int compareTo(ObjectKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }
}
