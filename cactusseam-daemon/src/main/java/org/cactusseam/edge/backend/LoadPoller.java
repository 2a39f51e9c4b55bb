package org.cactusseam.edge.backend;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.cactusseam.edge.Json;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.LoadReport;

/** Asks backend servers for their load. */
public final class LoadPoller {

  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int POOL_SIZE = 2;
  private static final int STATUS_OK = 200;

  private final HttpClient client;

  private record Answer(
      String incarnation,
      String state,
      int running,
      int waiting,
      @JsonProperty("memory_used_tokens") long memoryUsedTokens,
      @JsonProperty("memory_total_tokens") long memoryTotalTokens,
      long preemptions) {

    LoadReport toReport() {
      return new LoadReport(
          new BackendCondition(incarnation, "cold".equals(state)),
          running,
          waiting,
          memoryUsedTokens,
          memoryTotalTokens,
          preemptions);
    }
  }

  /**
   * Creates a poller.
   *
   * @param vertx event loops
   */
  public LoadPoller(Vertx vertx) {
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout((int) TIMEOUT_MILLIS),
            new PoolOptions().setHttp1MaxSize(POOL_SIZE));
  }

  /**
   * Asks one server.
   *
   * @param server backend server
   * @return its report; fails if it does not answer in time
   */
  public Future<LoadReport> poll(BackendServer server) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(server.host())
            .setPort(server.port())
            .setURI("/load")
            .setTimeout(TIMEOUT_MILLIS);
    return client
        .request(options)
        .compose(request -> request.send())
        .compose(LoadPoller::body)
        .map(body -> Json.read(body.toString(), Answer.class).get().toReport());
  }

  private static Future<Buffer> body(HttpClientResponse response) {
    return response.statusCode() == STATUS_OK
        ? response.body()
        : Future.failedFuture("load report answered with status " + response.statusCode());
  }
}
