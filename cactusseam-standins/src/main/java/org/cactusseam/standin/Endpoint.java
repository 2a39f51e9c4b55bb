package org.cactusseam.standin;

import java.util.OptionalInt;

/**
 * Where a stand-in listens.
 *
 * @param host address, which is a loopback address in all tests
 * @param port port of the service; 0 selects a free one
 * @param adminPort additional port for faults and counters, which stays reachable while the service
 *     refuses connections or hangs; empty for none, 0 selects a free one
 */
public record Endpoint(String host, int port, OptionalInt adminPort) {

  /** Address that all tests use. */
  public static final String LOOPBACK = "127.0.0.1";

  /**
   * Selects free ports on the loopback address.
   *
   * @return the endpoint
   */
  public static Endpoint anyLoopback() {
    return new Endpoint(LOOPBACK, 0, OptionalInt.of(0));
  }
}
