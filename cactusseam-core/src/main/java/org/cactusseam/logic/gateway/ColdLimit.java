package org.cactusseam.logic.gateway;

/**
 * Request rate that a cold (recently started or idle) backend server can handle.
 *
 * @param perSecond sustained rate, in requests per second
 * @param burst number of requests above the sustained rate that may fall into one second
 */
public record ColdLimit(double perSecond, double burst) {

  /**
   * How far the requests sent to a cold server may exceed its configured rate.
   *
   * @param factor upper bound on the requests within one second, as a multiple of the rate
   * @param allowance requests that may be added to this bound
   */
  public record Tolerance(double factor, double allowance) {

    /**
     * Returns the limit for the cold servers of a service.
     *
     * @param perSecond requests per second that one cold server of the service can handle
     */
    public ColdLimit limit(double perSecond) {
      return new ColdLimit(perSecond, Math.max(1, perSecond * (factor - 1) + allowance));
    }
  }
}
