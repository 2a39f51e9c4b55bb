package org.cactusseam.logic.query;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.ObjectKind;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RegionName;

/**
 * The attributes that a command states. On {@code create} the parser has made sure that the
 * required ones are present; on {@code change} an empty one keeps its value.
 */
public sealed interface Attributes {

  /**
   * Returns the kind of object that has these attributes.
   *
   * @return kind
   */
  ObjectKind kind();

  /**
   * Attributes of a priority class.
   *
   * @param rank 0 is served first
   * @param mayWait whether requests give way to streams that people watch
   */
  record OfClass(Optional<Integer> rank, Optional<Boolean> mayWait) implements Attributes {
    @Override
    public ObjectKind kind() {
      return ObjectKind.PRIORITY_CLASS;
    }
  }

  /**
   * Attributes of a client account.
   *
   * @param priorityClass class of its requests
   * @param share purchased share
   * @param keyHashes SHA-256 of each key; an empty list keeps the keys
   */
  record OfAccount(
      Optional<PriorityClassName> priorityClass, Optional<Integer> share, List<String> keyHashes)
      implements Attributes {

    /** Copies the list. */
    public OfAccount {
      keyHashes = List.copyOf(keyHashes);
    }

    @Override
    public ObjectKind kind() {
      return ObjectKind.ACCOUNT;
    }
  }

  /**
   * Attributes of a route.
   *
   * @param path path of the caller's request
   * @param model model named in the request body
   * @param pool pool that serves the route
   * @param protocol protocol of the pool
   * @param repeatable whether a request may run more than once
   * @param deadline deadline of requests that state none
   */
  record OfRoute(
      Optional<String> path,
      Optional<String> model,
      Optional<PoolName> pool,
      Optional<BackendKind> protocol,
      Optional<Boolean> repeatable,
      Optional<Duration> deadline)
      implements Attributes {
    @Override
    public ObjectKind kind() {
      return ObjectKind.ROUTE;
    }
  }

  /**
   * Attributes of a failure domain.
   *
   * @param region region that holds it
   */
  record OfDomain(Optional<RegionName> region) implements Attributes {
    @Override
    public ObjectKind kind() {
      return ObjectKind.FAILURE_DOMAIN;
    }
  }

  /**
   * Attributes of a backend server.
   *
   * @param pool pool that it belongs to
   * @param domain failure domain that holds it
   * @param protocol protocol that it speaks
   * @param address where it listens
   * @param checksFencing whether it refuses an old fencing number
   * @param coldLimit requests that it bears during cold start
   * @param warmLimit requests that it bears when warm
   * @param memoryTokens capacity of the engine memory, in tokens
   */
  record OfServer(
      Optional<PoolName> pool,
      Optional<FailureDomainName> domain,
      Optional<BackendKind> protocol,
      Optional<Address> address,
      Optional<Boolean> checksFencing,
      Optional<Integer> coldLimit,
      Optional<Integer> warmLimit,
      Optional<Long> memoryTokens)
      implements Attributes {
    @Override
    public ObjectKind kind() {
      return ObjectKind.BACKEND_SERVER;
    }
  }
}
