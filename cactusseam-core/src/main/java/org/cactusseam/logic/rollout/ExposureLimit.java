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

  /**
   * Part of what the canary stage leaves that is used step by step before all requests go to the
   * new version. The rest has to last for all requests until the deadline.
   */
  private static final double RAMP_PART = 0.2;

  private static final int RAMP_STEPS = 4;

  /** Largest part of the requests in the canary stage. The others show the old version. */
  private static final double CANARY_PART = 0.34;

  private final RolloutSettings settings;
  private final boolean hasAllowance;
  private final double fraction;
  private int largestVmCount = 1;
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

  /** Part of an order, which determines how much of the limit may be used. */
  public sealed interface Phase {

    /** Canary stage; the elapsed part of the time to the deadline, from 0 to 1. */
    record Canary(double progress) implements Phase {}

    /** Shifting, and draining while old servers still receive requests; elapsed part of it. */
    record Ramp(double progress) implements Phase {}

    /** All requests go to the new version. */
    record Full() implements Phase {}
  }

  /**
   * Returns whether another request may be sent to the new version.
   *
   * @param phase part of the order, which determines the part of the limit
   * @param vms number of VMs that share the allowance
   * @return whether the limit permits it
   */
  public boolean hasCapacity(Phase phase, int vms) {
    return sent + 1 <= limit(phase, vms) + fraction;
  }

  /**
   * Returns whether all requests may go to the new version until the deadline.
   *
   * @param vms number of VMs that share the allowance
   * @param elapsedMillis time since the order, over which the rate of requests is measured
   * @param millisLeft time to the deadline
   * @param moves runs of old servers, each of which is sent to the new version once more
   * @return whether the limit cannot be exceeded at this rate
   */
  public boolean canTakeAll(int vms, long elapsedMillis, long millisLeft, int moves) {
    double expected = requests * (double) millisLeft / Math.max(1, elapsedMillis);
    // Without the fraction: it stands for rounding down, and nothing is rounded here.
    return limit(new Phase.Full(), vms) - sent >= expected + moves;
  }

  private double limit(Phase phase, int vms) {
    // A VM that is no longer counted may have used its share of the allowance.
    largestVmCount = Math.max(largestVmCount, vms);
    double allowance = hasAllowance ? settings.exposureAllowance() / largestVmCount : 0;
    double share = settings.exposureShare() * requests;
    double full = USED_FRACTION * (share + allowance);
    return switch (phase) {
      case Phase.Canary canary -> canaryLimit(share, allowance, canary.progress());
      case Phase.Ramp ramp -> {
        double step = Math.min(RAMP_STEPS, Math.floor(ramp.progress() * RAMP_STEPS) + 1);
        double before = canaryLimit(share, allowance, 1);
        yield before + RAMP_PART * step / RAMP_STEPS * Math.max(0, full - before);
      }
      case Phase.Full ignored -> full;
    };
  }

  private double canaryLimit(double share, double allowance, double progress) {
    double available = IMMEDIATE_ALLOWANCE + (1 - IMMEDIATE_ALLOWANCE) * progress;
    return Math.min(
        CANARY_PART * requests, CANARY_SHARE * share + CANARY_ALLOWANCE * available * allowance);
  }
}
