package org.cactusseam.standin;

import java.util.OptionalInt;

/**
 * Listening addresses of a stand-in.
 *
 * @param host address to bind; tests use a loopback address
 * @param port port of the simulated service; 0 selects a free port
 * @param adminPort additional port for the routes that set faults and read counters, which answers
 *     while the service refuses connections or hangs; empty for none, 0 selects a free port
 */
public record Endpoint(String host, int port, OptionalInt adminPort) {

  /** Loopback address, on which all tests listen. */
  public static final String LOOPBACK = "127.0.0.1";

  /**
   * Returns an endpoint on the loopback address whose service port and admin port are selected by
   * the operating system.
   */
  public static Endpoint anyLoopback() {
    return new Endpoint(LOOPBACK, 0, OptionalInt.of(0));
  }
}
