package org.cactusseam.edge.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import org.cactusseam.model.gateway.ServerInstance;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against crashes that are not noticed, and against living servers taken for crashed. */
class CrashCheckTest {

  private static final int BACKLOG = 10;

  private final Vertx vertx = Vertx.vertx();
  private final CrashCheck crashCheck = new CrashCheck(vertx);

  @AfterEach
  void closeRuntime() {
    vertx.close().await();
  }

  private static ServerSocket listen() throws IOException {
    return new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  }

  private static ServerInstance at(ServerSocket socket) {
    return new ServerInstance(
        "s-1",
        1,
        "engines",
        "127.0.0.1",
        socket.getLocalPort(),
        "a",
        1,
        false,
        Duration.ZERO,
        "v1");
  }

  @Test
  void a_server_that_accepts_connections_is_alive() throws IOException {
    try (ServerSocket socket = listen()) {
      assertThat(crashCheck.check(at(socket)).await(), is(CrashCheck.Result.ALIVE));
    }
  }

  @Test
  void a_server_that_refuses_connections_crashed() throws IOException {
    ServerSocket socket = listen();
    socket.close();

    assertThat(crashCheck.check(at(socket)).await(), is(CrashCheck.Result.CRASHED));
  }

  /** The connections of a process that ends may close before its port. */
  @Test
  void a_server_whose_port_closes_after_its_connections_crashed() throws IOException {
    ServerSocket socket = listen();
    ServerInstance server = at(socket);

    Future<CrashCheck.Result> result = crashCheck.check(server);
    socket.accept().close(); // the first connection of the check
    socket.close();

    assertThat(result.await(), is(CrashCheck.Result.CRASHED));
  }
}
