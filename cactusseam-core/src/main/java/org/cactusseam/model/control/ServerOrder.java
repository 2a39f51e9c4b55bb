package org.cactusseam.model.control;

/**
 * What operators can order a backend server to do.
 *
 * @param kind kind of the order
 * @param name model, adapter, version or role
 */
public record ServerOrder(Kind kind, String name) {

  /** Kinds of orders. */
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

  /** Checks the name. */
  public ServerOrder {
    if (name.isBlank()) {
      throw new IllegalArgumentException("an order needs a name");
    }
  }
}
