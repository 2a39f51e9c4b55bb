package org.cactusseam.model.gateway;

import java.util.Optional;

/**
 * Optional behaviour of a gateway. Each part states in its settings when it is active; with the
 * defaults, a gateway decides as if the part did not exist.
 *
 * @param rollouts bounds of roll-outs; empty if the deployment has none
 * @param hedging limits of second attempts for slow responses
 * @param memory limits of the memory that is held for clients
 */
public record GatewayFeatures(
    Optional<RolloutSettings> rollouts, HedgingSettings hedging, MemorySettings memory) {

  /** Features of a deployment that enables none. */
  public static final GatewayFeatures DEFAULTS =
      new GatewayFeatures(Optional.empty(), HedgingSettings.DEFAULTS, MemorySettings.DEFAULTS);
}
