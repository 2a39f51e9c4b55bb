package org.cactusseam.model.gateway;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account.
 *
 * @param name name in the configuration
 * @param keys keys of its callers
 * @param rank priority that goes before the priority of the route, 0 is the highest
 * @param regions regions in which its requests may run; empty if everywhere
 */
public record GatewayAccount(String name, Set<String> keys, OptionalInt rank, Set<String> regions) {

  /** Copies the collections. */
  public GatewayAccount {
    keys = Set.copyOf(keys);
    regions = Set.copyOf(regions);
  }

  @Override
  public String toString() {
    // Keys are secrets and must not reach a log.
    return "GatewayAccount[" + name + "]";
  }
}
