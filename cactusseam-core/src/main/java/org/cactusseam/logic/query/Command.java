package org.cactusseam.logic.query;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.ServiceState;

/** A command of the operator command language. */
public sealed interface Command {

  /** A command that returns information and changes nothing. */
  sealed interface Query extends Command {}

  /** A command that changes the configuration or a backend server. */
  sealed interface Order extends Command {}

  /** An order that changes the configuration. */
  sealed interface ConfigurationOrder extends Order {

    /**
     * Returns the object that the order changes.
     *
     * @return kind and name of the object
     */
    ObjectKey key();

    /**
     * Returns the revision that the object must have for the order to be accepted (optimistic
     * locking).
     *
     * @return expected revision, or empty if the operator did not specify one
     */
    OptionalLong revision();
  }

  /** An order that a backend server executes. */
  sealed interface ServerOrder extends Order {

    /**
     * Returns the backend server that executes the order.
     *
     * @return name of the backend server
     */
    BackendServerName server();
  }

  /** Kinds of objects that can be listed. */
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
    /** Admission shards and their owners. */
    SHARDS,
    /** Orders to backend servers. */
    ORDERS,
    /** Roll-outs of pools. */
    ROLLOUTS
  }

  /** Properties by which requests can be filtered. */
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

  /** Artifacts that an engine can load. */
  enum Artifact {
    /** Weights of a model. */
    MODEL,
    /** Adapter for a model. */
    ADAPTER,
    /** Version of a model. */
    VERSION
  }

  /**
   * A filter condition on requests.
   *
   * @param field property to compare
   * @param name required name of the property
   */
  record Condition(Field field, String name) {}

  /**
   * Lists requests.
   *
   * @param conditions conditions that a request must all meet; an empty list selects all requests
   */
  record ShowRequests(List<Condition> conditions) implements Query {

    /** Creates a query with an immutable copy of the conditions. */
    public ShowRequests {
      conditions = List.copyOf(conditions);
    }
  }

  /**
   * Lists the objects of one kind.
   *
   * @param listing kind of objects to list
   */
  record Show(Listing listing) implements Query {}

  /**
   * Returns the state of an earlier command.
   *
   * @param commandId identity of the command
   */
  record ShowCommand(String commandId) implements Query {}

  /**
   * Creates an object.
   *
   * @param name name of the object
   * @param attributes attributes, including all required ones
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
   * @param revision expected revision of the object
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
   * @param revision expected revision of the object
   * @param key object to remove
   */
  record Remove(OptionalLong revision, ObjectKey key) implements ConfigurationOrder {}

  /**
   * Takes a failure domain or a backend server out of service, or returns it to service.
   *
   * @param revision expected revision of the object
   * @param key failure domain or backend server
   * @param state new service state
   */
  record SetService(OptionalLong revision, ObjectKey key, ServiceState state)
      implements ConfigurationOrder {}

  /**
   * Moves the traffic of a pool to another version.
   *
   * @param revision expected revision of the latest roll-out of the pool
   * @param pool pool of backend servers
   * @param version version that receives the traffic
   * @param duration time to the deadline
   */
  record Roll(OptionalLong revision, PoolName pool, String version, Duration duration)
      implements ConfigurationOrder {

    @Override
    public ObjectKey key() {
      return PoolRollout.keyOf(pool);
    }
  }

  /** Changes of a roll-out in progress. */
  enum RolloutChange {
    /** No further requests go to the new version until the roll-out is resumed. */
    PAUSE,
    /** Ends a pause. */
    RESUME,
    /** The replaced versions keep the traffic. */
    REVERT
  }

  /**
   * Changes the roll-out of a pool.
   *
   * @param revision expected revision of the roll-out
   * @param change kind of change
   * @param pool pool of backend servers
   */
  record ChangeRollout(OptionalLong revision, RolloutChange change, PoolName pool)
      implements ConfigurationOrder {

    @Override
    public ObjectKey key() {
      return PoolRollout.keyOf(pool);
    }
  }

  /**
   * Loads an artifact into an engine.
   *
   * @param artifact kind of the artifact
   * @param name name of the artifact
   * @param server engine that loads it
   */
  record Load(Artifact artifact, String name, BackendServerName server) implements ServerOrder {}

  /**
   * Changes the role of an engine.
   *
   * @param server engine whose role changes
   * @param role new role
   */
  record ChangeRole(BackendServerName server, String role) implements ServerOrder {}
}
