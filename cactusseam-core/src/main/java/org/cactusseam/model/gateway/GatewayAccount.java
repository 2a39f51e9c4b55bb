package org.cactusseam.model.gateway;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account as configured by operators.
 *
 * @param name name in the configuration
 * @param keys secret API keys of its callers
 * @param rank priority that overrides the priority of the route, 0 is the highest; empty if the
 *     priority of the route applies
 * @param regions regions in which its requests may run; empty if all are allowed
 */
public record GatewayAccount(String name, Set<String> keys, OptionalInt rank, Set<String> regions) {

  /** Copies the collections. */
  public GatewayAccount {
    keys = Set.copyOf(keys);
    regions = Set.copyOf(regions);
  }

  @Override
  public String toString() {
    // Keys are secrets and must not be logged.
    return "GatewayAccount[" + name + "]";
  }
}
