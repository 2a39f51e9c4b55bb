package org.cactusseam.edge.gateway;

import java.time.Duration;
import java.util.Map;
import org.cactusseam.logic.gateway.ColdLimit;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.model.gateway.GatewayFeatures;

/**
 * Settings of one gateway process.
 *
 * @param node name of the VM
 * @param host IP address of the VM
 * @param callerPort port for callers
 * @param readinessPort port of the platform's readiness check
 * @param readinessPath path of the platform's readiness check
 * @param peerPort port for other gateways
 * @param metricsPort port for metrics scrapes
 * @param failureDomain failure domain of the VM
 * @param regions region of each failure domain
 * @param shutdownGrace time between the shutdown signal and the kill by the platform
 * @param retryWindow window of the retry budget
 * @param retryRatio retries permitted per request in the window
 * @param retryAllowance further retries permitted in the window, over all VMs
 * @param coldTolerance how far the request rate of a cold server may exceed its limit
 * @param features optional behaviour
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
    ColdLimit.Tolerance coldTolerance,
    GatewayFeatures features) {

  /** Copies the regions, so that later changes of the map have no effect. */
  public GatewaySettings {
    regions = Map.copyOf(regions);
  }

  /**
   * Returns the location of this VM.
   *
   * @return failure domain of the VM, and the region of each failure domain
   */
  public ServerSelector.Location location() {
    return new ServerSelector.Location(failureDomain, regions);
  }
}
