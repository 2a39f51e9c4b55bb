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
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.LoadReport;

/** Asks backend servers for their load. */
public final class LoadPoller {

  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int POOL_SIZE = 2;
  private static final int STATUS_OK = 200;
  private static final int HEXADECIMAL = 16;

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

  private record Event(long number, String type, @JsonProperty("prefix_hash") String prefixHash) {}

  private record Events(String incarnation, List<Event> events) {}

  /**
   * Event of a prefix cache.
   *
   * @param incarnation run of the engine
   * @param number number of the event within the run
   * @param stored whether the prefix was stored; otherwise it was evicted
   * @param prefix hash of the prefix
   */
  public record CacheEvent(String incarnation, long number, boolean stored, long prefix) {}

  /**
   * Asks an engine for events of its prefix cache.
   *
   * @param server engine
   * @param from number of the first event wanted
   * @return events in order; fails if the engine does not answer in time
   */
  public Future<List<CacheEvent>> cacheEvents(BackendServer server, long from) {
    return get(server, "/cache-events?from=" + from)
        .map(body -> Json.read(body.toString(), Events.class).get())
        .map(
            answer ->
                answer.events().stream()
                    .map(
                        event ->
                            new CacheEvent(
                                answer.incarnation(),
                                event.number(),
                                "stored".equals(event.type()),
                                Long.parseUnsignedLong(event.prefixHash(), HEXADECIMAL)))
                    .toList());
  }

  /**
   * Asks one server.
   *
   * @param server backend server
   * @return its report; fails if it does not answer in time
   */
  public Future<LoadReport> poll(BackendServer server) {
    return get(server, "/load")
        .map(body -> Json.read(body.toString(), Answer.class).get().toReport());
  }

  private Future<Buffer> get(BackendServer server, String uri) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(server.host())
            .setPort(server.port())
            .setURI(uri)
            .setTimeout(TIMEOUT_MILLIS);
    return client.request(options).compose(request -> request.send()).compose(LoadPoller::body);
  }

  private static Future<Buffer> body(HttpClientResponse response) {
    return response.statusCode() == STATUS_OK
        ? response.body()
        : Future.failedFuture("the backend server answered with status " + response.statusCode());
  }
}
