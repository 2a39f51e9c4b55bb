package org.cactusseam.logic.rollout;

import org.cactusseam.model.gateway.RolloutSettings;

/**
 * Limits the requests that this VM sends to the new version of one order. The bound holds over all
 * VMs; each one uses only its own share, so that it also holds on a VM that is cut off.
 */
public final class ExposureLimit {

  /** Fraction of the bound that is used; the rest covers differences of the VMs' shares. */
  private static final double USED_FRACTION = 0.85;

  /**
   * Fraction of the share that the canary stage uses. The rest is needed if the version turns bad
   * during shifting and draining, when it receives most requests.
   */
  private static final double CANARY_SHARE = 0.5;

  /** Fraction of the allowance that the canary stage uses: 30 requests of the usual 50. */
  private static final double CANARY_ALLOWANCE = 0.6;

  /** Part of the canary allowance that is available at once; a version may turn bad later. */
  private static final double IMMEDIATE_ALLOWANCE = 0.4;

  /** Largest part of the requests in the canary stage. The others show the old version. */
  private static final double CANARY_PART = 0.34;

  private final RolloutSettings settings;
  private final boolean hasAllowance;
  private final double fraction;
  private long requests;
  private long sent;

  /**
   * Creates the limit of an order that was just read.
   *
   * @param hasAllowance whether the process ran before the order; if not, its predecessor may have
   *     used the allowance
   * @param fraction number from 0 to 1 that differs between VMs, added in place of rounding down
   */
  public ExposureLimit(RolloutSettings settings, boolean hasAllowance, double fraction) {
    this.settings = settings;
    this.hasAllowance = hasAllowance;
    this.fraction = fraction;
  }

  /** Counts a request of a caller for the service. */
  public void recordRequest() {
    requests++;
  }

  /** Counts a request that is sent to the new version. */
  public void recordSent() {
    sent++;
  }

  /**
   * Returns the number of requests sent to the new version.
   *
   * @return count since the order was read
   */
  public long sent() {
    return sent;
  }

  /**
   * Returns whether another request may be sent to the new version.
   *
   * @param isCanary whether the canary stage lasts, which uses a part of the limit
   * @param vms number of VMs that share the allowance
   * @param progress elapsed part of the time to the deadline, from 0 to 1
   * @return whether the limit permits it
   */
  public boolean hasCapacity(boolean isCanary, int vms, double progress) {
    return sent + 1 <= limit(isCanary, vms, progress) + fraction;
  }

  private double limit(boolean isCanary, int vms, double progress) {
    double allowance = hasAllowance ? settings.exposureAllowance() / Math.max(1, vms) : 0;
    double share = settings.exposureShare() * requests;
    if (!isCanary) {
      return USED_FRACTION * (share + allowance);
    }
    double available = IMMEDIATE_ALLOWANCE + (1 - IMMEDIATE_ALLOWANCE) * progress;
    return Math.min(
        CANARY_PART * requests, CANARY_SHARE * share + CANARY_ALLOWANCE * available * allowance);
  }
}
