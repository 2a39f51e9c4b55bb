package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The other VMs, by whether they can be reached. Names of VMs that left stay in the platform's
 * store; if they counted for ever, the shares of the others in common limits would only shrink.
 */
public final class PeerReachability {

  /**
   * Time for which a VM that cannot be reached still has its share: it may send to backend servers
   * behind a cut, or be back after a restart. Cuts on the deployments last up to 9 s (site files).
   */
  private static final Duration SHARE_KEPT = Duration.ofSeconds(60);

  private final Set<String> connected = new HashSet<>();
  private final Map<String, Instant> unreachedSince = new HashMap<>();

  /**
   * A VM was found in the store.
   *
   * @param node its name
   * @param now time
   */
  public void recordDiscovered(String node, Instant now) {
    if (!connected.contains(node)) {
      unreachedSince.putIfAbsent(node, now);
    }
  }

  /**
   * A VM is connected.
   *
   * @param node its name
   */
  public void recordConnected(String node) {
    unreachedSince.remove(node);
    connected.add(node);
  }

  /**
   * The connection to a VM has ended.
   *
   * @param node its name
   * @param now time
   */
  public void recordDisconnected(String node, Instant now) {
    if (connected.remove(node)) {
      unreachedSince.put(node, now);
    }
  }

  /**
   * Returns the number of VMs that hear what this one tells.
   *
   * @return number of connected VMs
   */
  public int connectedCount() {
    return connected.size();
  }

  /**
   * Returns the number of VMs that have a share in common limits.
   *
   * @param now time
   * @return connected VMs and those that may be back
   */
  public int sharingCount(Instant now) {
    long maybeBack =
        unreachedSince.values().stream().filter(at -> at.plus(SHARE_KEPT).isAfter(now)).count();
    return connected.size() + (int) maybeBack;
  }
}
