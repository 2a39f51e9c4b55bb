package org.cactusseam.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports for processes that tests and benchmarks start. The ports lie below the ephemeral
 * range of the operating system, and none is returned twice: a port selected by the operating
 * system and released again could be assigned to another process before the new one was listening,
 * which made starts fail intermittently.
 */
public final class FreePorts {

  private static final int FIRST_PORT = 24_000;
  private static final int PORT_COUNT = 8_000;
  private static final int START_OFFSET_PER_PROCESS = 97;

  /**
   * Consecutive test runs start at different ports, because closed ports remain in use by the
   * operating system for some time.
   */
  private static final AtomicInteger NEXT =
      new AtomicInteger(
          (int) (ProcessHandle.current().pid() * START_OFFSET_PER_PROCESS % PORT_COUNT));

  private FreePorts() {}

  /**
   * Returns the next TCP port on the loopback interface on which no process listens.
   *
   * @return port that this process has not returned before, unless all ports of the range were used
   * @throws IllegalStateException if every port of the range is in use
   */
  public static int next() {
    for (int tries = 0; tries < PORT_COUNT; tries++) {
      int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORT_COUNT);
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("all ports from 24000 to 31999 are in use");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
