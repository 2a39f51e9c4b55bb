package org.cactusseam.edge.gateway;

import org.cactusseam.model.gateway.GatewayConfiguration;
import org.cactusseam.model.gateway.ServerInstance;

/** Receives what the platform's store tells. Called on the event loop. */
public interface StoreUpdateListener {

  /**
   * A configuration was read. It may be older than the known one.
   *
   * @param configuration configuration
   */
  void configuration(GatewayConfiguration configuration);

  /**
   * A failure domain was taken out of service or brought back.
   *
   * @param failureDomain name
   * @param out whether it is out of service
   */
  void evacuated(String failureDomain, boolean out);

  /**
   * The entry of a server was read.
   *
   * @param server server
   * @return whether it was not known, or its process has started again
   */
  boolean server(ServerInstance server);

  /**
   * The entry of a server is gone.
   *
   * @param id server
   * @return whether the server is taken as gone; its entry may have lapsed while the store was away
   */
  boolean serverGone(String id);

  /** The store answers again after it was away. */
  void storeReturned();

  /**
   * Another gateway was found.
   *
   * @param node its name
   * @param host IP address
   * @param port port for other gateways
   * @param failureDomain where it stands
   */
  void peer(String node, String host, int port, String failureDomain);
}
