package org.cactusseam.edge.gateway;

import io.vertx.core.Future;
import org.cactusseam.model.quarantine.Conviction;

/**
 * Keeps convictions in the platform's store, for gateways that start later or that the others
 * cannot reach. Implemented by the platform's adapter.
 */
public interface ConvictionStore {

  /**
   * Writes a conviction. Every gateway reads it and calls {@link
   * StoreUpdateListener#onConvictionStored}.
   *
   * @param conviction conviction to keep
   * @return completes when it is written; fails if it may not be
   */
  Future<Void> put(Conviction conviction);
}
