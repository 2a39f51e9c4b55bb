package org.cactusseam.edge.backend;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import org.cactusseam.edge.http.HttpClients;

/**
 * Creates the HTTP clients that send callers' requests to backend servers. Each request uses a new
 * connection: HTTP/1.1 matches responses to requests only by their order, so on a reused connection
 * a duplicate response, or surplus bytes after a response, would reach the next caller.
 */
public final class BackendConnections {

  /**
   * Maximum number of connections from one event loop to one backend server. The pool allocates 4
   * bytes for each possible connection.
   */
  private static final int MAXIMUM_CONNECTIONS = 2_048;

  /**
   * Initial size of a connection's buffer for header lines. The buffer lives as long as the
   * connection and grows for longer lines.
   */
  public static final int HEADER_LINE_BYTES = 64;

  private BackendConnections() {}

  /**
   * Creates the client of one event loop. Requests beyond the connection limit fail at once.
   *
   * @param vertx Vert.x instance
   * @return client without keep-alive
   */
  public static HttpClient createClient(Vertx vertx) {
    return HttpClients.create(
        vertx,
        new HttpClientOptions()
            .setTcpNoDelay(true)
            .setKeepAlive(false)
            .setDecoderInitialBufferSize(HEADER_LINE_BYTES),
        new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS).setMaxWaitQueueSize(0));
  }
}
