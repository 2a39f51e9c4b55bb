package org.cactusseam.edge.backend;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

/**
 * Connections that carry the requests of callers to backend servers. Each request has a connection
 * of its own: HTTP/1.1 matches answers to requests only by their order, so on a reused connection
 * the second copy of an answer, or surplus bytes after one, would go to the next caller.
 */
public final class BackendConnections {

  /**
   * Connections of one event loop to one backend server. The pool reserves 4 bytes for each
   * possible one.
   */
  private static final int MAXIMUM_CONNECTIONS = 2_048;

  /**
   * First size of a connection's buffer for header lines. It is held as long as the connection and
   * grows for longer lines.
   */
  public static final int HEADER_LINE_BYTES = 64;

  private BackendConnections() {}

  /**
   * Creates the client of one event loop.
   *
   * @param vertx event loops
   * @return client
   */
  public static HttpClient createClient(Vertx vertx) {
    return vertx.createHttpClient(
        new HttpClientOptions()
            .setTcpNoDelay(true)
            .setKeepAlive(false)
            .setDecoderInitialBufferSize(HEADER_LINE_BYTES),
        new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS).setMaxWaitQueueSize(0));
  }
}
