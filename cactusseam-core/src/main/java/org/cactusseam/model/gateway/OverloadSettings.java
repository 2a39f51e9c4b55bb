package org.cactusseam.model.gateway;

/**
 * Behaviour when capacity is insufficient.
 *
 * @param earlyRefusal whether a request is refused as soon as it cannot be expected to start in
 *     time, with a time to retry by the rate at which requests start
 */
public record OverloadSettings(boolean earlyRefusal) {

  /** Requests wait for as long as they may, and all refusals have the same time to retry. */
  public static final OverloadSettings DEFAULTS = new OverloadSettings(false);
}
