package org.cactusseam.logic.query;

import java.util.List;
import java.util.OptionalLong;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ServiceState;

/** A command of the operators' language. */
public sealed interface Command {

  /** A command that shows something and changes nothing. */
  sealed interface Query extends Command {}

  /** A command that changes something. */
  sealed interface Order extends Command {}

  /** An order that changes the configuration. */
  sealed interface ConfigurationOrder extends Order {

    /**
     * Returns the object that the order is about.
     *
     * @return kind and name
     */
    ObjectKey key();

    /**
     * Returns the revision of the object that the operator saw.
     *
     * @return revision, or empty if the operator did not state one
     */
    OptionalLong revision();
  }

  /** An order that a backend server carries out. */
  sealed interface ServerOrder extends Order {

    /**
     * Returns the backend server that carries the order out.
     *
     * @return name
     */
    BackendServerName server();
  }

  /** What can be listed. */
  enum Listing {
    /** Backend servers. */
    SERVERS,
    /** Failure domains. */
    DOMAINS,
    /** Client accounts. */
    ACCOUNTS,
    /** Priority classes. */
    CLASSES,
    /** Routes. */
    ROUTES,
    /** Entry daemons. */
    NODES,
    /** Admission shards with their owners. */
    SHARDS,
    /** Orders to backend servers. */
    ORDERS
  }

  /** What a request can be selected by. */
  enum Field {
    /** Client account. */
    ACCOUNT,
    /** Route. */
    ROUTE,
    /** Backend server that runs the request. */
    SERVER,
    /** Failure domain of the backend server that runs the request. */
    DOMAIN
  }

  /** What an engine can load. */
  enum Artifact {
    /** Weights of a model. */
    MODEL,
    /** Adapter on top of a model. */
    ADAPTER,
    /** Version of a model. */
    VERSION
  }

  /**
   * A condition on requests.
   *
   * @param field what is compared
   * @param name name that it must have
   */
  record Condition(Field field, String name) {}

  /**
   * Lists requests.
   *
   * @param conditions conditions that must all hold
   */
  record ShowRequests(List<Condition> conditions) implements Query {

    /** Copies the list. */
    public ShowRequests {
      conditions = List.copyOf(conditions);
    }
  }

  /**
   * Lists objects.
   *
   * @param listing what is listed
   */
  record Show(Listing listing) implements Query {}

  /**
   * Asks for the state of an earlier command.
   *
   * @param commandId identity of the command
   */
  record ShowCommand(String commandId) implements Query {}

  /**
   * Creates an object.
   *
   * @param name name of the object
   * @param attributes attributes
   */
  record Create(String name, Attributes attributes) implements ConfigurationOrder {

    @Override
    public ObjectKey key() {
      return new ObjectKey(attributes.kind(), name);
    }

    @Override
    public OptionalLong revision() {
      return OptionalLong.empty();
    }
  }

  /**
   * Changes attributes of an object.
   *
   * @param revision revision that the operator saw
   * @param name name of the object
   * @param attributes attributes to change
   */
  record Change(OptionalLong revision, String name, Attributes attributes)
      implements ConfigurationOrder {

    @Override
    public ObjectKey key() {
      return new ObjectKey(attributes.kind(), name);
    }
  }

  /**
   * Removes an object.
   *
   * @param revision revision that the operator saw
   * @param key object
   */
  record Remove(OptionalLong revision, ObjectKey key) implements ConfigurationOrder {}

  /**
   * Takes a failure domain or a backend server out of service, or brings it back.
   *
   * @param revision revision that the operator saw
   * @param key object
   * @param state new state
   */
  record SetService(OptionalLong revision, ObjectKey key, ServiceState state)
      implements ConfigurationOrder {}

  /**
   * Makes an engine load something.
   *
   * @param artifact what it loads
   * @param name name of what it loads
   * @param server engine
   */
  record Load(Artifact artifact, String name, BackendServerName server) implements ServerOrder {}

  /**
   * Changes the role of an engine.
   *
   * @param server engine
   * @param role new role
   */
  record ChangeRole(BackendServerName server, String role) implements ServerOrder {}
}
