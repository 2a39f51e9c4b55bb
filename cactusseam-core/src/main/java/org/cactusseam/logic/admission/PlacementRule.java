package org.cactusseam.logic.admission;

import java.util.Collection;

/**
 * Additional condition on where a request may run, for example because it is suspected of crashing
 * backend servers.
 */
@FunctionalInterface
public interface PlacementRule {

  /** Allows every request on every server. */
  PlacementRule NONE = (fingerprint, running) -> true;

  /**
   * Returns whether a request may run on a backend server now.
   *
   * @param fingerprint fingerprint of the request
   * @param running fingerprints of the requests that run on the server
   */
  boolean allows(String fingerprint, Collection<String> running);
}
