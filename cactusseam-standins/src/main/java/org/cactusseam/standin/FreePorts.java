package org.cactusseam.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for processes that tests and benchmarks start. They lie below the range from which the
 * system takes ports of outgoing connections, and none is given out twice: a port that the system
 * chose and that was closed again came back for the next process, which made starts fail now and
 * then.
 */
public final class FreePorts {

  private static final int FIRST = 24_000;
  private static final int COUNT = 8_000;
  private static final int PORTS_FOR_A_RUN = 97;

  /**
   * Runs that follow each other start at different ports, because closed ones stay busy for a
   * while.
   */
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_FOR_A_RUN % COUNT));

  private FreePorts() {}

  /**
   * Returns a port that nobody listens on.
   *
   * @return TCP port on the loopback interface
   */
  public static int next() {
    for (int tries = 0; tries < COUNT; tries++) {
      int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no free port");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
