package org.cactusseam.edge.gateway;

import java.time.Duration;
import java.util.Map;
import org.cactusseam.logic.gateway.ColdLimit;
import org.cactusseam.logic.gateway.ServerSelector;

/**
 * Settings of one gateway process.
 *
 * @param node name of the VM
 * @param host IP address of the VM
 * @param callerPort port for callers
 * @param readinessPort port on which the platform asks whether the gateway is ready
 * @param readinessPath path of that question
 * @param peerPort port for other gateways
 * @param metricsPort port for the scraper
 * @param failureDomain own failure domain
 * @param regions region of each failure domain
 * @param shutdownGrace time between the signal to stop and the end of the process
 * @param retryWindow window of the retry budget
 * @param retryRatio retries for each request in the window
 * @param retryAllowance further retries in the window, over all VMs
 * @param coldTolerance how far a cold server may be overrun
 */
public record GatewaySettings(
    String node,
    String host,
    int callerPort,
    int readinessPort,
    String readinessPath,
    int peerPort,
    int metricsPort,
    String failureDomain,
    Map<String, String> regions,
    Duration shutdownGrace,
    Duration retryWindow,
    double retryRatio,
    double retryAllowance,
    ColdLimit.Tolerance coldTolerance) {

  /** Copies the map. */
  public GatewaySettings {
    regions = Map.copyOf(regions);
  }

  /**
   * Returns where this VM stands.
   *
   * @return location
   */
  public ServerSelector.Location location() {
    return new ServerSelector.Location(failureDomain, regions);
  }
}
