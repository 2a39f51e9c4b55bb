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
import java.util.List;
import org.cactusseam.edge.Json;
import org.cactusseam.edge.http.HttpClients;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.LoadReport;

/** Queries backend servers for their load reports and for events of their prefix caches. */
public final class LoadPoller {

  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int POOL_SIZE = 2;
  private static final int STATUS_OK = 200;

  /** Maximum length of a report or of a page of cache events. */
  private static final int MAX_REPORT_BYTES = 1 << 20;

  private static final int HEX_RADIX = 16;

  private final HttpClient client;

  private record LoadResponse(
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
   * Creates a poller with its own connection pool.
   *
   * @param vertx Vert.x instance
   */
  public LoadPoller(Vertx vertx) {
    this.client =
        HttpClients.create(
            vertx,
            new HttpClientOptions().setConnectTimeout((int) TIMEOUT_MILLIS),
            new PoolOptions().setHttp1MaxSize(POOL_SIZE));
  }

  private record CacheEventEntry(
      long number, String type, @JsonProperty("prefix_hash") String prefixHash) {}

  private record CacheEventsResponse(String incarnation, List<CacheEventEntry> events) {}

  /**
   * Event of an engine's prefix cache.
   *
   * @param incarnation id of the run of the engine
   * @param number sequence number of the event within the run
   * @param stored true if the prefix was stored, false if it was evicted
   * @param prefix hash of the prefix
   */
  public record CacheEvent(String incarnation, long number, boolean stored, long prefix) {}

  /**
   * Queries an engine for events of its prefix cache.
   *
   * @param server engine
   * @param from sequence number of the first event to return
   * @return events in order; fails if the engine does not answer within 1 s
   */
  public Future<List<CacheEvent>> fetchCacheEvents(BackendServer server, long from) {
    return get(server, "/cache-events?from=" + from)
        .map(body -> Json.read(body.toString(), CacheEventsResponse.class).get())
        .map(
            response ->
                response.events().stream()
                    .map(
                        event ->
                            new CacheEvent(
                                response.incarnation(),
                                event.number(),
                                "stored".equals(event.type()),
                                Long.parseUnsignedLong(event.prefixHash(), HEX_RADIX)))
                    .toList());
  }

  /**
   * Queries a backend server for its load.
   *
   * @param server backend server
   * @return its report; fails if it does not answer within 1 s
   */
  public Future<LoadReport> poll(BackendServer server) {
    return get(server, "/load")
        .map(body -> Json.read(body.toString(), LoadResponse.class).get().toReport());
  }

  private Future<Buffer> get(BackendServer server, String uri) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(server.host())
            .setPort(server.port())
            .setURI(uri)
            .setTimeout(TIMEOUT_MILLIS);
    return client.request(options).compose(request -> request.send()).compose(LoadPoller::readBody);
  }

  private static Future<Buffer> readBody(HttpClientResponse response) {
    return response.statusCode() == STATUS_OK
        ? BoundedBody.read(response, MAX_REPORT_BYTES)
        : Future.failedFuture("the backend server answered with status " + response.statusCode());
  }
}
