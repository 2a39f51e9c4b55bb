package org.cactusseam.edge.gateway;

import java.util.Collection;
import java.util.Set;
import org.cactusseam.model.gateway.GatewayConfiguration;
import org.cactusseam.model.gateway.ServerInstance;

/** Receives what the platform's store tells. Called on the event loop. */
public interface ControlFeed {

  /**
   * A configuration was read. It may be older than the known one.
   *
   * @param configuration configuration
   */
  void configuration(GatewayConfiguration configuration);

  /**
   * The failure domains that are out of service were read.
   *
   * @param failureDomains names of all of them
   */
  void evacuated(Set<String> failureDomains);

  /**
   * The whole list of servers was read.
   *
   * @param servers servers
   */
  void allServers(Collection<ServerInstance> servers);

  /**
   * The entry of a server was read.
   *
   * @param server server
   */
  void server(ServerInstance server);

  /**
   * The entry of a server is gone.
   *
   * @param id server
   */
  void serverGone(String id);

  /** The store answers again after it was away. */
  void storeReturned();

  /**
   * Another gateway was found.
   *
   * @param node its name
   * @param host IP address
   * @param port port for other gateways
   */
  void peer(String node, String host, int port);
}
