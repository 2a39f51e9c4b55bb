package org.cactusseam.logic.replay;

import org.cactusseam.logic.admission.AdmissionSettings;

/**
 * Settings of a replay.
 *
 * @param deployment servers, accounts and latencies
 * @param admission settings of the decision
 * @param seed seed of the jitter of engines
 * @param reportPeriodMillis time between two load reports of an engine
 * @param reportLagMillis age of a load report when it arrives
 * @param cacheEventLagMillis age of a cache event when it arrives
 * @param cacheEventLossPart part of the cache events that are lost
 * @param domainStaysOut whether the domain that leaves in the trace is out during the whole run, to
 *     measure what the remaining servers bear
 */
public record ReplaySettings(
    Deployment deployment,
    AdmissionSettings admission,
    long seed,
    long reportPeriodMillis,
    long reportLagMillis,
    long cacheEventLagMillis,
    double cacheEventLossPart,
    boolean domainStaysOut) {

  /**
   * Returns the usual settings of a deployment.
   *
   * @param deployment deployment
   * @param admission settings of the decision
   * @return settings
   */
  public static ReplaySettings of(Deployment deployment, AdmissionSettings admission) {
    return new ReplaySettings(deployment, admission, 1, 200, 400, 500, 0.05, false);
  }

  /**
   * Returns a copy in which the leaving domain is out all the time.
   *
   * @return the copy
   */
  public ReplaySettings withDomainOut() {
    return new ReplaySettings(
        deployment,
        admission,
        seed,
        reportPeriodMillis,
        reportLagMillis,
        cacheEventLagMillis,
        cacheEventLossPart,
        true);
  }
}
