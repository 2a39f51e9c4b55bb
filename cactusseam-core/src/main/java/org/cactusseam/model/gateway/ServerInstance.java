package org.cactusseam.model.gateway;

import java.time.Duration;

/**
 * Description of a backend server, published by the server itself in the list of servers.
 *
 * @param id identifier, by which a call can be restricted to this server
 * @param startedAtMillis start of its process, in milliseconds since the Unix epoch; 0 if it does
 *     not state it
 * @param service name of the service that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param failureDomain name of the failure domain that it runs in
 * @param slots number of requests that it runs concurrently; 0 if it does not state it
 * @param leaving whether it announces that it is leaving and wants no further requests
 * @param coldFor remaining time for which it is cold and can handle few requests; zero if it is
 *     warm
 * @param version version of its software; empty if it does not state it
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
    Duration coldFor,
    String version) {

  /**
   * Returns the network address.
   *
   * @return address in the form IP:PORT
   */
  public String address() {
    return host + ":" + port;
  }

  /**
   * Returns whether another description refers to the same process, not to a restarted one.
   *
   * @param other description to compare with
   * @return whether identifier, start time and address are equal
   */
  public boolean isSameProcess(ServerInstance other) {
    return id.equals(other.id)
        && startedAtMillis == other.startedAtMillis
        && port == other.port
        && host.equals(other.host);
  }
}
