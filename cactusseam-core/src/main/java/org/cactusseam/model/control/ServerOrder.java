package org.cactusseam.model.control;

/**
 * A change that operators order a backend server to make.
 *
 * @param kind kind of the change
 * @param name name of the model, adapter, version or role
 */
public record ServerOrder(Kind kind, String name) {

  /** Kinds of ordered changes. */
  public enum Kind {
    /** Load a model from the weight store. */
    LOAD_MODEL,
    /** Load an adapter from the weight store. */
    LOAD_ADAPTER,
    /** Load a version from the weight store. */
    LOAD_VERSION,
    /** Change the role of the server. */
    CHANGE_ROLE
  }

  /** Rejects an empty name. */
  public ServerOrder {
    if (name.isBlank()) {
      throw new IllegalArgumentException(
          "the name of the model, adapter, version or role must not be blank");
    }
  }
}
