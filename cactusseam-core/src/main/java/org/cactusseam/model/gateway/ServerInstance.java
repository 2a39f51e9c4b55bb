package org.cactusseam.model.gateway;

import java.time.Duration;

/**
 * A backend server as it describes itself in the list of servers.
 *
 * @param id identity, by which a call can be limited to this server
 * @param startedAtMillis start of its process, in milliseconds since the epoch; 0 if it does not
 *     say
 * @param service service that it belongs to
 * @param host IP address
 * @param port port
 * @param failureDomain failure domain
 * @param slots requests that it runs at the same time
 * @param leaving whether it asks for no further requests
 * @param coldFor time for which it still bears little
 */
public record ServerInstance(
    String id,
    long startedAtMillis,
    String service,
    String host,
    int port,
    String failureDomain,
    int slots,
    boolean leaving,
    Duration coldFor) {

  /**
   * Returns the address.
   *
   * @return address in the form IP:PORT
   */
  public String address() {
    return host + ":" + port;
  }

  /**
   * Returns whether another description speaks of the same process.
   *
   * @param other other description
   * @return whether identity, start and address are the same
   */
  public boolean isSameProcess(ServerInstance other) {
    return id.equals(other.id)
        && startedAtMillis == other.startedAtMillis
        && port == other.port
        && host.equals(other.host);
  }
}
