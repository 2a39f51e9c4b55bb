package org.cactusseam.edge.gateway;

import java.util.Collection;
import java.util.List;

/** The other gateways, as roll-outs need them. */
interface RolloutPeers {

  /** Returns the names of the gateways that are connected or were a short time ago. */
  List<String> members();

  /** Returns the names of the gateways that are connected or may serve requests in a partition. */
  List<String> awaited();

  /** Returns the names of the connected gateways. */
  List<String> connected();

  /** Sends a message to those of the given gateways that are connected. */
  void send(Collection<String> nodes, GatewayMessage message);
}
