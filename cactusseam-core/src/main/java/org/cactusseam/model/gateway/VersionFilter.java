package org.cactusseam.model.gateway;

import java.util.Set;

/**
 * Versions of a service's servers that a request may use.
 *
 * @param versions listed versions
 * @param isAllowed whether only the listed versions are allowed, or all others
 */
public record VersionFilter(Set<String> versions, boolean isAllowed) {

  /** Allows every version. */
  public static final VersionFilter ANY = new VersionFilter(Set.of(), false);

  /** Copies the set. */
  public VersionFilter {
    versions = Set.copyOf(versions);
  }

  /**
   * Returns a filter that allows only the given versions.
   *
   * @return filter
   */
  public static VersionFilter only(Set<String> versions) {
    return new VersionFilter(versions, true);
  }

  /**
   * Returns a filter that allows all but the given versions.
   *
   * @return filter
   */
  public static VersionFilter except(Set<String> versions) {
    return new VersionFilter(versions, false);
  }

  /**
   * Returns whether a server has an allowed version.
   *
   * @return whether requests may be sent to it
   */
  public boolean accepts(ServerInstance server) {
    return versions.contains(server.version()) == isAllowed;
  }
}
