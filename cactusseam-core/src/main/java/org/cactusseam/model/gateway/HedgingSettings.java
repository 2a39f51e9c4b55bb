package org.cactusseam.model.gateway;

import java.util.OptionalDouble;

/**
 * Limits of hedged requests.
 *
 * @param extraShare largest share of extra requests, from 0 to 1; empty to hedge only the services
 *     whose servers report a pace, with the default share
 */
public record HedgingSettings(OptionalDouble extraShare) {

  /** Largest share of extra requests of the services whose servers report a pace. */
  public static final double DEFAULT_EXTRA_SHARE = 0.03;

  /** Hedges only the services whose servers report a pace. */
  public static final HedgingSettings DEFAULTS = new HedgingSettings(OptionalDouble.empty());
}
