package org.cactusseam.model.gateway;

import java.util.OptionalLong;

/**
 * Limits of the memory that a process holds for clients.
 *
 * @param clientBytes bytes that are held for all clients together; empty for the default share of
 *     the heap
 */
public record MemorySettings(OptionalLong clientBytes) {

  /** Uses the default share of the heap. */
  public static final MemorySettings DEFAULTS = new MemorySettings(OptionalLong.empty());
}
