package org.cactusseam.model.gateway;

import java.util.OptionalLong;

/**
 * Limits of the memory that a process holds for clients.
 *
 * @param clientBytes bytes that are held for all clients together; empty for the default share of
 *     the heap
 * @param maximumConnections connections of callers that are open at the same time
 */
public record MemorySettings(OptionalLong clientBytes, int maximumConnections) {

  /**
   * Connections of callers if the limit on descriptors is not known. A gateway with 230 requests a
   * second, each on a connection of its own that is idle for 5 s, has 1,150.
   */
  public static final int DEFAULT_MAXIMUM_CONNECTIONS = 1_300;

  /** Uses the default share of the heap. */
  public static final MemorySettings DEFAULTS =
      new MemorySettings(OptionalLong.empty(), DEFAULT_MAXIMUM_CONNECTIONS);
}
