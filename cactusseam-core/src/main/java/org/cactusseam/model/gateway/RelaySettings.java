package org.cactusseam.model.gateway;

/**
 * Exchange of loads between many gateways.
 *
 * @param minimumGateways number of known gateways from which loads are exchanged through relays
 */
public record RelaySettings(int minimumGateways) {

  /**
   * With fewer gateways than this, each one sends its loads to all others: up to 95 gateways have
   * been measured with that.
   */
  public static final int DEFAULT_MINIMUM_GATEWAYS = 100;

  /** Settings of a deployment that states none. */
  public static final RelaySettings DEFAULTS = new RelaySettings(DEFAULT_MINIMUM_GATEWAYS);
}
