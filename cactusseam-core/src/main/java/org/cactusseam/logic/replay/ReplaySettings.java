package org.cactusseam.logic.replay;

import org.cactusseam.logic.admission.AdmissionSettings;

/**
 * Settings of a replay.
 *
 * @param deployment engines, client accounts and latencies
 * @param admission settings of the admission shards
 * @param seed seed of the random step times of engines and of the loss of cache events
 * @param reportPeriodMillis interval between load reports of an engine, in milliseconds
 * @param reportLagMillis delay from the creation of a load report to its arrival, in milliseconds
 * @param cacheEventLagMillis delay from a cache event to its arrival, in milliseconds
 * @param cacheEventLossFraction fraction of cache events that are lost, from 0 to 1
 * @param domainStaysOut whether the failure domain that the trace takes out of service stays out
 *     during the whole run, which measures the capacity of the remaining servers
 */
public record ReplaySettings(
    Deployment deployment,
    AdmissionSettings admission,
    long seed,
    long reportPeriodMillis,
    long reportLagMillis,
    long cacheEventLagMillis,
    double cacheEventLossFraction,
    boolean domainStaysOut) {

  /**
   * Returns the default settings for a deployment.
   *
   * @param deployment engines, client accounts and latencies
   * @param admission settings of the admission shards
   * @return settings with seed 1
   */
  public static ReplaySettings of(Deployment deployment, AdmissionSettings admission) {
    return new ReplaySettings(deployment, admission, 1, 200, 400, 500, 0.05, false);
  }

  /**
   * Returns a copy in which the failure domain that the trace takes out stays out of service.
   *
   * @return copy with {@link #domainStaysOut} set
   */
  public ReplaySettings withDomainOut() {
    return new ReplaySettings(
        deployment,
        admission,
        seed,
        reportPeriodMillis,
        reportLagMillis,
        cacheEventLagMillis,
        cacheEventLossFraction,
        true);
  }
}
