package org.cactusseam.edge.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Finds out whether a server crashed when it closed a connection, or whether only the connection
 * was lost. The operating system closes the listening port of a process with its connections, so a
 * refused connection shows that the process has ended.
 *
 * <p>The port may close after the connections, and until then the operating system accepts new
 * ones. A server therefore counts as alive only if it accepts a second connection later.
 */
final class CrashCheck {

  /** Covers the round-trip time between regions (40 ms) and delays on a loaded event loop. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** Longer than the operating system takes to close the connections and the port of a process. */
  static final Duration SECOND_CHECK_DELAY = Duration.ofMillis(50);

  /** Message of the runtime for ECONNREFUSED; other errors have the same exception type. */
  private static final String REFUSED = "Connection refused";

  private final Vertx vertx;
  private final NetClient client;

  /** What a new connection shows about a server. */
  enum Result {
    /** Nothing listens at the address of the server. */
    CRASHED,
    /** The server accepts connections. */
    ALIVE,
    /** The server cannot be reached. */
    UNKNOWN
  }

  CrashCheck(Vertx vertx) {
    this.vertx = vertx;
    this.client =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
  }

  /**
   * Opens a connection to a server and, if it is accepted, another one after {@link
   * #SECOND_CHECK_DELAY}, and closes both again.
   *
   * @param server server that closed a connection
   * @return result of the check; never fails
   */
  Future<Result> check(ServerInstance server) {
    return connect(server)
        .compose(
            result ->
                result == Result.ALIVE
                    ? vertx
                        .timer(SECOND_CHECK_DELAY.toMillis(), TimeUnit.MILLISECONDS)
                        .compose(elapsed -> connect(server))
                    : Future.succeededFuture(result));
  }

  private Future<Result> connect(ServerInstance server) {
    return client
        .connect(server.port(), server.host())
        .map(
            socket -> {
              socket.close();
              return Result.ALIVE;
            })
        .otherwise(cause -> isRefused(cause) ? Result.CRASHED : Result.UNKNOWN);
  }

  private static boolean isRefused(Throwable cause) {
    return cause instanceof ConnectException
        && String.valueOf(cause.getMessage()).startsWith(REFUSED);
  }
}
