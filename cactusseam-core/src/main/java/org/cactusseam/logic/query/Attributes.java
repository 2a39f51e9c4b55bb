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
 * Attributes specified in a command. For {@code create}, the parser ensures that the required
 * attributes are present; for {@code change}, an empty attribute keeps its current value.
 */
public sealed interface Attributes {

  /**
   * Returns the kind of object to which these attributes belong.
   *
   * @return kind of the object
   */
  ObjectKind kind();

  /**
   * Attributes of a priority class.
   *
   * @param rank rank of the class; rank 0 is served first
   * @param mayWait whether requests of the class yield to interactive streams
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
   * @param priorityClass priority class of the account's requests
   * @param share purchased share of the capacity
   * @param keyHashes SHA-256 hash of each API key; an empty list keeps the current keys
   */
  record OfAccount(
      Optional<PriorityClassName> priorityClass, Optional<Integer> share, List<String> keyHashes)
      implements Attributes {

    /** Creates attributes with an immutable copy of the hashes. */
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
   * @param path URL path of the caller's request
   * @param model model named in the request body
   * @param pool pool of backend servers that serves the route
   * @param protocol protocol of the servers in the pool
   * @param repeatable whether a request may be executed more than once
   * @param deadline default deadline of requests that do not specify one
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
   * @param region region that contains the failure domain
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
   * @param pool pool to which the server belongs
   * @param domain failure domain that contains the server
   * @param protocol protocol of the server
   * @param address address on which the server listens
   * @param checksFencing whether the server rejects lower fencing numbers
   * @param coldLimit maximum number of concurrent requests during cold start
   * @param warmLimit maximum number of concurrent requests when warm
   * @param memoryTokens capacity of the engine's KV cache, in tokens
   * @param version version of the server's software
   */
  record OfServer(
      Optional<PoolName> pool,
      Optional<FailureDomainName> domain,
      Optional<BackendKind> protocol,
      Optional<Address> address,
      Optional<Boolean> checksFencing,
      Optional<Integer> coldLimit,
      Optional<Integer> warmLimit,
      Optional<Long> memoryTokens,
      Optional<String> version)
      implements Attributes {
    @Override
    public ObjectKind kind() {
      return ObjectKind.BACKEND_SERVER;
    }
  }
}
