package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;

/**
 * Configuration of a backend server: a model engine or plain service that executes requests.
 *
 * @param name name of the server
 * @param pool pool that the server belongs to
 * @param domain failure domain that holds the server
 * @param kind protocol of the server
 * @param host IP address of the server
 * @param port TCP port of the server
 * @param checksFencing whether the server rejects requests with a stale fencing number
 * @param coldLimit limit on concurrent requests during a cold start
 * @param warmLimit limit on concurrent requests when warm; not below the cold limit
 * @param memoryTokens capacity of the engine memory, in tokens; 0 for plain services
 * @param state whether new work may be sent to the server
 * @param version version of the server's software; empty if none is stated. Records omit an empty
 *     version, so that they equal those of daemons that do not know the attribute.
 */
public record BackendServer(
    BackendServerName name,
    PoolName pool,
    FailureDomainName domain,
    BackendKind kind,
    String host,
    int port,
    boolean checksFencing,
    int coldLimit,
    int warmLimit,
    long memoryTokens,
    ServiceState state,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) @JsonSetter(nulls = Nulls.AS_EMPTY) String version)
    implements ConfigurationObject {

  /** Rejects limits that are not positive or decrease from cold to warm. */
  public BackendServer {
    if (coldLimit < 1 || warmLimit < coldLimit) {
      throw new IllegalArgumentException(
          "limits must satisfy 1 <= cold <= warm for server " + name);
    }
  }

  /** Creates a server without a version. */
  public BackendServer(
      BackendServerName name,
      PoolName pool,
      FailureDomainName domain,
      BackendKind kind,
      String host,
      int port,
      boolean checksFencing,
      int coldLimit,
      int warmLimit,
      long memoryTokens,
      ServiceState state) {
    this(
        name,
        pool,
        domain,
        kind,
        host,
        port,
        checksFencing,
        coldLimit,
        warmLimit,
        memoryTokens,
        state,
        "");
  }

  /**
   * Returns a copy in another service state.
   *
   * @param newState service state of the copy
   * @return changed copy
   */
  public BackendServer withState(ServiceState newState) {
    return new BackendServer(
        name,
        pool,
        domain,
        kind,
        host,
        port,
        checksFencing,
        coldLimit,
        warmLimit,
        memoryTokens,
        newState,
        version);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.BACKEND_SERVER, name.value());
  }
}
