package org.cactusseam.edge.gateway;

import java.util.List;
import org.cactusseam.logic.rollout.RolloutState;
import org.cactusseam.model.gateway.GatewayConfiguration;
import org.cactusseam.model.gateway.RolloutOrder;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.quarantine.Conviction;

/** Receives updates of the platform's store. Called on the event loop. */
public interface StoreUpdateListener {

  /**
   * Called when a configuration was read. It may be older than the one in force.
   *
   * @param configuration decoded configuration
   */
  void onConfiguration(GatewayConfiguration configuration);

  /**
   * Called when a failure domain was taken out of service or put back into service.
   *
   * @param failureDomain name of the domain
   * @param out whether it is out of service
   */
  void onEvacuation(String failureDomain, boolean out);

  /**
   * Called when the entry of a server was read.
   *
   * @param server decoded entry
   * @return whether the server was unknown, or its process has restarted
   */
  boolean onServerListed(ServerInstance server);

  /**
   * Called when the entry of a server no longer exists.
   *
   * @param id identifier of the server
   * @return whether the server is treated as gone; false if its entry may have expired only because
   *     the store was unavailable
   */
  boolean onServerRemoved(String id);

  /** Called when the store responds again after an outage. */
  void onStoreRecovered();

  /**
   * Called when the store has come back from an older copy, before its records are read again. What
   * this gateway has written there may be gone.
   */
  default void onStoreRestored() {}

  /**
   * Called when the entry of a gateway was read.
   *
   * @param node name of the gateway's VM
   * @param host IP address
   * @param port port for other gateways
   * @param failureDomain failure domain of the gateway
   */
  void onGatewayListed(String node, String host, int port, String failureDomain);

  /**
   * Called when a conviction was read.
   *
   * @param conviction cause of crashes, and until when requests with it are refused
   */
  void onConvictionStored(Conviction conviction);

  /**
   * Called when the versions of a service were read that may have begun a stream.
   *
   * @param service name of the service
   * @param versions versions, the oldest first
   */
  default void onServiceVersions(String service, List<String> versions) {}

  /** Called when the latest record of every gateway and service has been read. */
  default void onGatewaysListed() {}

  /**
   * Called when an order to move a service to another version was read.
   *
   * @param order decoded order
   */
  default void onRolloutOrder(RolloutOrder order) {}

  /**
   * Called when the order for a service no longer exists.
   *
   * @param service name of the service
   */
  default void onRolloutOrderRemoved(String service) {}

  /**
   * Called when the state of an order was read. It may be older than the known one.
   *
   * @param state decoded state
   */
  default void onRolloutState(RolloutState state) {}
}
