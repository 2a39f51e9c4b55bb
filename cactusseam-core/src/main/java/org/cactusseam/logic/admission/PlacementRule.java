package org.cactusseam.logic.admission;

import java.util.Collection;

/** Further condition on where a request may run, for example because it may crash servers. */
@FunctionalInterface
public interface PlacementRule {

  /** Allows every request everywhere. */
  PlacementRule NONE = (fingerprint, running) -> true;

  /**
   * Tells whether a request may run on a backend server now.
   *
   * @param fingerprint fingerprint of the request
   * @param running fingerprints of the requests that run there
   * @return whether it may
   */
  boolean allows(String fingerprint, Collection<String> running);
}
