package org.cactusseam.model;

/**
 * A model engine or plain service that runs requests.
 *
 * @param name name
 * @param pool pool that the server belongs to
 * @param domain failure domain that holds the server
 * @param kind protocol of the server
 * @param host IP address
 * @param port TCP port
 * @param checksFencing whether the server refuses an old fencing number
 * @param coldLimit requests that the server bears during cold start
 * @param warmLimit requests that the server bears when warm
 * @param memoryTokens capacity of the engine memory, in tokens; 0 for plain services
 * @param state whether new work may be sent to the server
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
    ServiceState state)
    implements ConfigurationObject {

  /** Checks the limits. */
  public BackendServer {
    if (coldLimit < 1 || warmLimit < coldLimit) {
      throw new IllegalArgumentException("limits must satisfy 1 <= cold <= warm: " + name);
    }
  }

  /**
   * Returns a copy in another state.
   *
   * @param newState state of the copy
   * @return the copy
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
        newState);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.BACKEND_SERVER, name.value());
  }
}
